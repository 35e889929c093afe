package machines

// startFence prevents the agent from executing the start of a direct call once more after it has
// forgotten the attempt. A direct call, or a copy of it, may arrive minutes later, also when the call
// got a reply and its sender has ended. The agent executes it as long as it is in the same session and has
// seen no higher fencing token, and a start has an effect unless the agent still lists the attempt.
// So the response that lets the agent forget attempts carries a higher token than all direct calls
// with starts before: the agent either misses both, and still lists the attempts, or it refuses
// the copies.
type startFence struct {
	raises     uint64 // how many times the fencing token of the machine was raised in this term
	needsRaise bool   // a direct call with a start was made with the present token
}

// FencingToken returns the fencing token of commands to the machine. term is the lowest token of the
// leader's term.
func (f *startFence) FencingToken(term uint64) uint64 { return term + f.raises }

// FenceDirectStarts makes sure that the next response to the machine has a higher fencing token than
// all earlier direct calls with starts, and raises the token if it has to. It returns false if that is
// impossible now: a direct call with the present token is in progress, which the agent would refuse, or
// the token was raised maxRaises times already.
func (m *Machine) FenceDirectStarts(maxRaises uint64) bool {
	switch {
	case !m.needsRaise:
		return true
	case m.IsBeingCalled() || m.raises >= maxRaises:
		return false
	}
	m.raises++
	m.needsRaise = false
	return true
}
