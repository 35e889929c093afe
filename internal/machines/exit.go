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

// AddExited adds an exited attempt of the task list. mayForget is true if the leader doesn't need the
// exit in later task lists. The agent is then told to forget the attempt, see startFence.
func (m *Machine) AddExited(key ExitKey, mayForget bool) {
	m.exited = append(m.exited, Exit{ExitKey: key, Forget: mayForget})
}

// Exited returns the exited attempts of the last task list. The caller must not modify the slice.
func (m *Machine) Exited() []Exit { return m.exited }
