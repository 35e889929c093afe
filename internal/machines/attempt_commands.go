package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// NeedsStart reports whether the start of the attempt has to be sent: its start record is
// durable, it should run, and no task list has contained it yet.
func (a *Attempt) NeedsStart() bool { return a.state == StartSent && a.ShouldRun() }

// StartCommand returns the command that starts the attempt.
func (a *Attempt) StartCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: a.TaskName(), Attempt: a.number}
}

// MarkResponseStartSent records that the start was sent in the response to the heartbeat with the
// given sequence number.
func (d *startDelivery) MarkResponseStartSent(sequence uint64) { d.startResponseSequence = sequence }

// ResponseStartMayTakeEffect reports whether the start was sent in a response and the agent may still
// execute it.
func (d *startDelivery) ResponseStartMayTakeEffect() bool { return d.startResponseSequence != 0 }

// MarkResponseStartIneffective records that the agent has not executed the start sent in a response
// and never will.
func (d *startDelivery) MarkResponseStartIneffective() { d.startResponseSequence = 0 }

// MarkDirectStartSent records that a direct call with the start is made. The start may arrive late
// until RuleOutDirectStart is called. A copy of it may arrive even later, see startFence.
func (a *Attempt) MarkDirectStartSent(now time.Time) {
	a.directStartMayArrive, a.directStartAt = true, now
	a.Machine.needsRaise = true
}

// RuleOutDirectStart records that a start sent by a direct call can no longer arrive late.
func (d *startDelivery) RuleOutDirectStart() { d.directStartMayArrive = false }

// DirectStartMayArrive reports whether a start sent by a direct call may still arrive late.
func (d *startDelivery) DirectStartMayArrive() bool { return d.directStartMayArrive }

// MayBeginByLateStart reports whether the attempt may still begin because a start sent by a direct
// call arrives late. It is false once the machine has reported the attempt.
func (a *Attempt) MayBeginByLateStart() bool { return a.state == StartSent && a.directStartMayArrive }

// MayRunByCopy reports whether the attempt may be on its machine although the lease of the known agent has
// expired: if the machine has restarted, a copy of the direct call that started the attempt may have started
// it there once more, and the new agent's lease lasts longer.
func (a *Attempt) MayRunByCopy(now time.Time, t *Timing) bool {
	return !a.directStartAt.IsZero() && now.Sub(a.directStartAt) <= tuning.DirectCallCopyDelay+t.LeaseCertainlyExpiredAfter
}

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

// PlanEviction records that a drain will stop the attempt, as soon as the charge for the eviction is
// durable.
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
	isSaving := a.state == Saving && a.gracePeriodS > 0 // a stop without a grace period is sent even then
	return a.stopping && a.IsNeeded() && a.state.IsReported() && !isSaving
}

// TryMarkDirectStopSent marks the stop as sent by a direct call, if it has to be sent and no direct
// call has contained it. It returns true if it has marked the stop; the caller then sends it. A stop
// that arrives late does no harm: it names the attempt by its number, which is never reused.
func (a *Attempt) TryMarkDirectStopSent() bool {
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
