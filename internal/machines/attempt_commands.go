package machines

import "switchshore.example/switchshore/wire"

// NeedsStart reports whether the start of the attempt is to be sent, as no task list has shown
// it yet.
func (a *Attempt) NeedsStart() bool { return a.state == StartSent && a.ShouldRun() }

// StartCommand is the command that starts the attempt.
func (a *Attempt) StartCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.Name(), Attempt: a.number}
}

// MarkSentInResponse notes that the start was sent in the response to a heartbeat.
func (d *startDelivery) MarkSentInResponse(sequence uint64) { d.sentSequence = sequence }

// WasSentInResponse reports whether the start was sent in the response to a heartbeat.
func (d *startDelivery) WasSentInResponse() bool { return d.sentSequence != 0 }

// MarkResponseIgnored notes that the start that was sent in a response has not run and never
// will.
func (d *startDelivery) MarkResponseIgnored() { d.sentSequence = 0 }

// MarkSentDirectly notes that the start was sent by a direct call.
func (d *startDelivery) MarkSentDirectly() { d.sentDirectly = true }

// ClearSentDirectly notes that the start can no longer come late by a direct call.
func (d *startDelivery) ClearSentDirectly() { d.sentDirectly = false }

// WasSentDirectly reports whether the start may still come late by a direct call.
func (d *startDelivery) WasSentDirectly() bool { return d.sentDirectly }

// MayStartLate reports whether the machine has not reported the attempt, whose start may still
// come late by a direct call.
func (a *Attempt) MayStartLate() bool { return a.state == StartSent && a.sentDirectly }

// StopNow has the attempt stopped without time to save.
func (a *Attempt) StopNow() { a.stopping, a.gracePeriodS = true, 0 }

// StopGracefully has the attempt stopped, with time to save if its job saves checkpoints.
func (a *Attempt) StopGracefully() {
	a.StopNow()
	if a.Job.CheckpointIntervalS > 0 {
		a.gracePeriodS = a.Job.CheckpointSaveS
	}
}

// RevertStop takes back a stop that has not been sent.
func (a *Attempt) RevertStop() { a.stopping = false }

// IsStopping reports whether the attempt is to be stopped.
func (a *Attempt) IsStopping() bool { return a.stopping }

// PlanEviction notes that a drain is about to stop the attempt.
func (a *Attempt) PlanEviction() { a.evicting = true }

// RevertEviction takes back an eviction that was planned.
func (a *Attempt) RevertEviction() { a.evicting = false }

// Evict stops the attempt for a drain.
func (a *Attempt) Evict() {
	a.evicting = true
	a.StopGracefully()
}

// IsEvicting reports whether a drain stops the attempt, or is about to.
func (a *Attempt) IsEvicting() bool { return a.evicting }

// NeedsStop reports whether the stop of the attempt is to be sent in a response: the task runs
// although it is to run elsewhere, and is not being saved yet.
func (a *Attempt) NeedsStop() bool {
	isSaving := a.state == Saving && a.gracePeriodS > 0
	return a.stopping && a.IsNeeded() && a.state.IsReported() && !isSaving
}

// ClaimDirectStop reports whether the stop of the attempt is to be sent by a direct call, and
// notes that it is. A late stop does no harm: attempts are never reused.
func (a *Attempt) ClaimDirectStop() bool {
	needed := a.stopping && a.state.IsReported() && !a.stopSent
	a.stopSent = a.stopSent || needed
	return needed
}

// GracePeriodS is the time in seconds that an attempt which is to be stopped gets to save.
func (a *Attempt) GracePeriodS() float64 { return a.gracePeriodS }

// StopCommand is the command that stops the attempt.
func (a *Attempt) StopCommand() wire.Command {
	grace := a.gracePeriodS
	return wire.Command{Op: wire.OpStop, Task: a.Name(), Attempt: a.number, GracePeriodS: &grace}
}
