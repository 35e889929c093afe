package machines

import "time"

// directCalls holds the state of direct calls to a machine.
type directCalls struct {
	calling   bool      // a direct call to the machine is in progress
	callAfter time.Time // earliest time of the next call; set after a call without a reply
	queued    bool      // the machine is in the queue of machines to call
}

// CanBeCalled reports whether a direct call to the machine may begin now and is likely to succeed.
// Otherwise its commands are sent in the response to the next heartbeat.
func (m *Machine) CanBeCalled(now time.Time, t *Timing) bool {
	return !m.calling && m.Addr != "" && !now.Before(m.callAfter) && m.reconciled &&
		!m.IsCordonedFor(CordonUnresponsive) && !m.HeartbeatOverdue(now, t)
}

// QueueCall marks the machine as queued for a call. It returns false if it was queued already.
func (d *directCalls) QueueCall() bool {
	if d.queued {
		return false
	}
	d.queued = true
	return true
}

// DequeueCall marks the machine as no longer queued for a call.
func (d *directCalls) DequeueCall() { d.queued = false }

// BeginCall records that a call has begun.
func (d *directCalls) BeginCall() { d.calling = true }

// EndCall records that the call in progress has ended.
func (d *directCalls) EndCall() { d.calling = false }

// DelayCalls prevents calls before the given time.
func (d *directCalls) DelayCalls(until time.Time) { d.callAfter = until }

// IsBeingCalled reports whether a call is in progress.
func (d *directCalls) IsBeingCalled() bool { return d.calling }
