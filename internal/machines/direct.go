package machines

import "time"

// directCalls holds the state of direct calls to a machine.
type directCalls struct {
	calling   bool      // a call is in progress
	callAfter time.Time // earliest time of the next call, after one without a reply
	queued    bool      // in the queue of machines to call
}

// CanBeCalled reports whether a direct call to the machine is likely to succeed now. Commands
// that are not sent by a direct call are sent in the response to the next heartbeat.
func (m *Machine) CanBeCalled(now time.Time, t *Timing) bool {
	return !m.calling && m.Addr != "" && !now.Before(m.callAfter) && m.reconciled &&
		!m.IsCordonedFor(CordonUnresponsive) && !m.HeartbeatOverdue(now, t)
}

// QueueCall marks the machine as queued for a call, and reports whether it was not queued before.
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

// EndCall records that the call has ended.
func (d *directCalls) EndCall() { d.calling = false }

// DelayCalls suspends calls until the given time.
func (d *directCalls) DelayCalls(until time.Time) { d.callAfter = until }

// IsBeingCalled reports whether a call is in progress.
func (d *directCalls) IsBeingCalled() bool { return d.calling }
