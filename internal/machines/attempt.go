package machines

import (
	"fmt"
	"math"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/wire"
)

// Attempt is one run of a task on one machine.
type Attempt struct {
	// Machine, Job and Index say what runs where, and never change.
	Machine *Machine
	Job     *jobs.Job
	Index   int32

	state           AttemptState
	allocated       bool // counts on its machine
	afterLongWait   bool // placed since its job had waited long
	checkpointSaved bool // it saved its progress when it was stopped
	failed          bool // it ended by an error of its own

	// Record is the start record that names the attempt, of the package that stores it.
	Record any

	number     uint64
	listNumber uint64 // the last task list that showed it
	orderedAt  time.Time
	runningAt  time.Time // when it was first reported as running, or zero
	startDelivery
	stopRequest
}

// startDelivery is how the start of an attempt was sent.
type startDelivery struct {
	// sentSequence is the heartbeat in whose response the start was sent last, 0 if none.
	sentSequence uint64
	// sentDirectly: the start was sent by a direct call without an answer so far. It may
	// then run at any later time within the session, so the attempt counts as
	// there, is ordered again in responses to heartbeats, and is never forgotten.
	sentDirectly bool
}

// stopRequest is whether and how an attempt is to be stopped.
type stopRequest struct {
	gracePeriodS float64
	stopping     bool
	stopSent     bool // by a direct call
	// evicting: a drain is about to stop it, once the charge for that is durable.
	evicting bool
}

// NewAttempt returns an attempt that may have been started under an earlier leader, as far as
// is known now.
func NewAttempt(m *Machine, j *jobs.Job, index int32, now time.Time) *Attempt {
	return &Attempt{Machine: m, Job: j, Index: index, state: PossiblyStarted, orderedAt: now}
}

// NewPendingAttempt returns an attempt to be started once the record of it is durable.
func NewPendingAttempt(m *Machine, j *jobs.Job, index int32, now time.Time, number uint64, afterLongWait bool) *Attempt {
	return &Attempt{
		Machine: m, Job: j, Index: index,
		number: number, state: RecordPending, orderedAt: now, afterLongWait: afterLongWait,
	}
}

// Number is the number of the attempt; that of a later attempt is larger.
func (a *Attempt) Number() uint64 { return a.number }

// State is how far the attempt has come.
func (a *Attempt) State() AttemptState { return a.state }

// CreatedAt is when the start was decided, or, under an earlier leader, when the attempt came
// to be known.
func (a *Attempt) CreatedAt() time.Time { return a.orderedAt }

// IsAllocated reports whether the attempt counts on its machine.
func (a *Attempt) IsAllocated() bool { return a.allocated }

// PlacedWhileAged reports whether the attempt was placed since its job had waited long.
func (a *Attempt) PlacedWhileAged() bool { return a.afterLongWait }

// HasRun reports whether the attempt was ever reported as running.
func (a *Attempt) HasRun() bool { return !a.runningAt.IsZero() }

// RunTime is the time since the attempt was first reported as running.
func (a *Attempt) RunTime(now time.Time) time.Duration { return now.Sub(a.runningAt) }

// ShouldRun reports whether the attempt is still to run.
func (a *Attempt) ShouldRun() bool { return !a.stopping && a.IsNeeded() }

// IsNeeded reports whether the task of the attempt is still to run somewhere.
func (a *Attempt) IsNeeded() bool { return a.Job.NeedsTask(int(a.Index)) }

// changeState changes to a legal next state; any other is a fault of the caller.
func (a *Attempt) changeState(next AttemptState) {
	if !a.state.CanBecome(next) {
		panic(fmt.Sprintf("machines: an attempt that is %v can't become %v", a.state, next))
	}
	a.state = next
}

// MarkRecorded notes that the record of the attempt is durable: the start may be sent.
func (a *Attempt) MarkRecorded() { a.changeState(StartSent) }

// MarkListed notes that a task list shows the task with the given attempt number. Another
// attempt of a task that is to run here makes the agent refuse the newer one, so it is
// the listed one that counts.
func (a *Attempt) MarkListed(listNumber, number uint64) {
	a.listNumber, a.number = listNumber, number
}

// MarkExitListed notes that a task list shows the attempt as exited.
func (a *Attempt) MarkExitListed(listNumber uint64) { a.listNumber = listNumber }

// IsListed reports whether a task list has shown the attempt.
func (a *Attempt) IsListed(listNumber uint64) bool { return a.listNumber == listNumber }

// ApplyReport applies the state that the machine reports. It returns whether the attempt
// has begun to run with it.
func (a *Attempt) ApplyReport(now time.Time, reported AttemptState) (began bool) {
	before := a.state
	if reported == before {
		return false
	}
	a.changeState(reported)
	a.Machine.snapshotOutdated = true
	if !reported.HasImage() || before.HasImage() {
		return false
	}
	a.runningAt = now
	return true
}

// MarkExited notes how the attempt has ended.
func (a *Attempt) MarkExited(checkpointSaved, failed bool) {
	a.checkpointSaved, a.failed = checkpointSaved, failed
}

// HasFailed reports whether the attempt has ended by an error of its own.
func (a *Attempt) HasFailed() bool { return a.failed }

// RecordProgress hands the progress of an attempt that has ended to its job.
func (a *Attempt) RecordProgress(now time.Time) {
	if a.HasRun() {
		a.Job.RecordProgress(a.Index, a.RunTime(now).Seconds(), a.checkpointSaved)
	}
}

// LostProgressS is the run time in seconds that is lost with an attempt that has ended.
func (a *Attempt) LostProgressS(now time.Time) float64 {
	switch {
	case a.checkpointSaved:
		return 0
	case a.Job.CheckpointIntervalS > 0:
		return a.UnsavedProgressS(now)
	}
	return a.RunTime(now).Seconds()
}

// UnsavedProgressS is the progress in seconds that stopping an attempt which saves
// checkpoints throws away: all since the last one.
func (a *Attempt) UnsavedProgressS(now time.Time) float64 {
	return math.Mod(a.RunTime(now).Seconds(), a.Job.CheckpointIntervalS)
}

// Name is the name of the task on the wire.
func (a *Attempt) Name() string { return wire.TaskName(a.Job.ID, int(a.Index)) }
