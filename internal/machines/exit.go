package machines

// ExitKey identifies an attempt in a machine's task list.
type ExitKey struct {
	Task    string
	Attempt uint64
}

// Exit is an exited attempt in a machine's task list.
type Exit struct {
	ExitKey
	Forget bool // the response tells the agent to forget the attempt
}

// ClearExited removes all exited attempts. It is called before the next task list is applied.
func (m *Machine) ClearExited() { m.exited = m.exited[:0] }

// AddExited adds an exited attempt of the task list. The agent is told to forget the attempt if
// unneeded is true and RetainExit was not called for the attempt in this session.
func (m *Machine) AddExited(key ExitKey, unneeded bool) {
	m.exited = append(m.exited, Exit{ExitKey: key, Forget: unneeded && !m.retainedExits[key]})
}

// Exited returns the exited attempts of the last task list. The caller must not modify the slice.
func (m *Machine) Exited() []Exit { return m.exited }

// RetainExit keeps the agent from being told to forget the exited attempt in this session. The
// attempt's start may still arrive late, and an agent that had forgotten the attempt would run it
// again.
func (m *Machine) RetainExit(key ExitKey) { m.retainedExits[key] = true }
