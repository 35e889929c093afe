package machines

import "switchshore.example/switchshore/wire"

// NeedsStart reports whether the start of the attempt has to be sent: its start record is
// durable, it should run, and no task list has contained it yet.
func (a *Attempt) NeedsStart() bool { return a.state == StartSent && a.ShouldRun() }

// StartCommand returns the command that starts the attempt.
func (a *Attempt) StartCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.TaskName(), Attempt: a.number}
}

// MarkStartSentInResponse records that the start was sent in the response to the given heartbeat.
func (d *startDelivery) MarkStartSentInResponse(sequence uint64) { d.responseSequence = sequence }

// StartSentInResponse reports whether the start was sent in a response that may still have an
// effect.
func (d *startDelivery) StartSentInResponse() bool { return d.responseSequence != 0 }

// MarkStartResponseIneffective records that the start sent in a response had no effect and never
// will.
func (d *startDelivery) MarkStartResponseIneffective() { d.responseSequence = 0 }

// MarkStartSentDirectly records that the start was sent by a direct call.
func (d *startDelivery) MarkStartSentDirectly() { d.sentDirectly = true }

// ClearStartSentDirectly records that a start sent by a direct call can no longer arrive late.
func (d *startDelivery) ClearStartSentDirectly() { d.sentDirectly = false }

// StartSentDirectly reports whether a start sent by a direct call may still arrive late.
func (d *startDelivery) StartSentDirectly() bool { return d.sentDirectly }

// MayStartLate reports whether a start sent by a direct call may still arrive, and the machine
// has not reported the attempt yet.
func (a *Attempt) MayStartLate() bool { return a.state == StartSent && a.sentDirectly }

// RequestStop requests that the attempt is stopped without a grace period.
func (a *Attempt) RequestStop() { a.stopping, a.gracePeriodS = true, 0 }

// RequestGracefulStop requests that the attempt is stopped. If its job saves checkpoints, it gets a
// grace period to save one.
func (a *Attempt) RequestGracefulStop() {
	a.RequestStop()
	if a.Job.CheckpointIntervalS > 0 {
		a.gracePeriodS = a.Job.CheckpointSaveS
	}
}

// RevertStop cancels a stop that has not been sent.
func (a *Attempt) RevertStop() { a.stopping = false }

// IsStopping reports whether a stop of the attempt was requested.
func (a *Attempt) IsStopping() bool { return a.stopping }

// PlanEviction records that a drain stops the attempt once the charge for the eviction is durable.
func (a *Attempt) PlanEviction() { a.evicting = true }

// RevertEviction cancels a planned eviction.
func (a *Attempt) RevertEviction() { a.evicting = false }

// RequestEviction requests that the attempt is stopped for a drain.
func (a *Attempt) RequestEviction() {
	a.evicting = true
	a.RequestGracefulStop()
}

// IsEvicting reports whether an eviction of the attempt is planned or requested.
func (a *Attempt) IsEvicting() bool { return a.evicting }

// NeedsStop reports whether a requested stop has to be sent in a response: the machine has
// reported the attempt, and the attempt isn't already saving a checkpoint in a grace period. It
// is false for a task that the job no longer needs; the caller stops such tasks itself.
func (a *Attempt) NeedsStop() bool {
	isSaving := a.state == Saving && a.gracePeriodS > 0 // a stop without a grace period is sent nevertheless
	return a.stopping && a.IsNeeded() && a.state.IsReported() && !isSaving
}

// MarkDirectStopIfNeeded reports whether the stop has to be sent by a direct call. If so, it marks the
// stop as sent, so that only one direct call contains it. A stop that arrives late does no harm:
// it names the attempt by its number, which is never reused.
func (a *Attempt) MarkDirectStopIfNeeded() bool {
	needed := a.stopping && a.state.IsReported() && !a.directStopSent
	a.directStopSent = a.directStopSent || needed
	return needed
}

// GracePeriodS returns the time in seconds that the attempt gets to save a checkpoint when it is
// stopped.
func (a *Attempt) GracePeriodS() float64 { return a.gracePeriodS }

// StopCommand returns the command that stops the attempt.
func (a *Attempt) StopCommand() wire.Command {
	grace := a.gracePeriodS
	return wire.Command{Op: wire.OpStop, Task: a.TaskName(), Attempt: a.number, GracePeriodS: &grace}
}
