package machines

import "time"

// directCalls holds the state of direct calls to a machine.
type directCalls struct {
	callInProgress bool      // a direct call to the machine is in progress
	callAfter      time.Time // earliest time of the next call; set after a call without a reply
	queued         bool      // the machine is in the queue of machines to call
}

// CanBeCalled reports whether a direct call to the machine may begin now and is likely to succeed.
// If not, the machine's commands are sent in the response to its next heartbeat.
func (m *Machine) CanBeCalled(now time.Time, t *Timing) bool {
	return !m.callInProgress && m.Addr != "" && !now.Before(m.callAfter) && m.reconciled &&
		!m.IsCordonedFor(CordonUnresponsive|CordonAgentReplaced) && !m.HeartbeatOverdue(now, t)
}

// TryQueueCall marks the machine as queued for a call. It returns false if the
// machine was queued already.
func (d *directCalls) TryQueueCall() bool {
	if d.queued {
		return false
	}
	d.queued = true
	return true
}

// MarkCallDequeued marks the machine as no longer queued for a call.
func (d *directCalls) MarkCallDequeued() { d.queued = false }

// BeginCall records that a call has begun.
func (d *directCalls) BeginCall() { d.callInProgress = true }

// EndCall records that the call in progress has ended.
func (d *directCalls) EndCall() { d.callInProgress = false }

// DelayCalls prevents calls before the given time.
func (d *directCalls) DelayCalls(until time.Time) { d.callAfter = until }

// IsBeingCalled reports whether a call is in progress.
func (d *directCalls) IsBeingCalled() bool { return d.callInProgress }
