package machines

// ExitKey names an attempt in a machine's list.
type ExitKey struct {
	Task    string
	Attempt uint64
}

// Exit is an exited attempt in a machine's list.
type Exit struct {
	ExitKey
	Forget bool // the agent may forget it
}

// ClearExited forgets the exited attempts of the last list.
func (m *Machine) ClearExited() { m.exited = m.exited[:0] }

// AddExited notes an exited attempt of the list, which the agent is to forget if it is unneeded.
func (m *Machine) AddExited(key ExitKey, unneeded bool) {
	m.exited = append(m.exited, Exit{ExitKey: key, Forget: unneeded && !m.unforgettable[key]})
}

// Exited are the exited attempts of the last list. The slice is the machine's own: it must not
// be modified.
func (m *Machine) Exited() []Exit { return m.exited }

// RetainExit notes that the start of an exited attempt may still come late in this session:
// an agent that had forgotten the attempt would run it.
func (m *Machine) RetainExit(key ExitKey) { m.unforgettable[key] = true }
