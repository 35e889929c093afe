package machines

import "time"

// directCalls is the state of direct calls to a machine.
type directCalls struct {
	calling   bool      // a call is under way
	callAfter time.Time // no sooner, after a call without a reply
	queued    bool      // among those to be called
}

// CanBeCalled reports whether a direct call to the machine makes sense now. What is not sent
// by it is sent in the response to the next heartbeat.
func (m *Machine) CanBeCalled(now time.Time, t *Timing) bool {
	return !m.calling && m.Addr != "" && !now.Before(m.callAfter) && m.reconciled &&
		!m.CordonedFor(CordonUnresponsive) && !m.HeartbeatOverdue(now, t)
}

// QueueCall notes that the machine is among those to be called, and reports whether it was not.
func (d *directCalls) QueueCall() bool {
	if d.queued {
		return false
	}
	d.queued = true
	return true
}

// DequeueCall notes that the machine is no longer among those to be called.
func (d *directCalls) DequeueCall() { d.queued = false }

// BeginCall notes that a call is under way.
func (d *directCalls) BeginCall() { d.calling = true }

// EndCall notes that the call is over.
func (d *directCalls) EndCall() { d.calling = false }

// PauseCalls lets no call be made before the given time.
func (d *directCalls) PauseCalls(until time.Time) { d.callAfter = until }

// IsBeingCalled reports whether a call is under way.
func (d *directCalls) IsBeingCalled() bool { return d.calling }
