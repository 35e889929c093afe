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
	// Job and Index identify the task, Machine is where the attempt runs. They never change.
	Machine *Machine
	Job     *jobs.Job
	Index   int32

	state           AttemptState
	allocated       bool // its resources are counted as used on its machine
	placedWhileAged bool // placed while its job counted as aged, see placement.PendingJob.AgedS
	checkpointSaved bool // the task saved a checkpoint when it was stopped
	failed          bool // the task itself ended with an error

	// StartRecord is the stored start record that contains the attempt. Package startlog sets it
	// and defines its type.
	StartRecord any

	number uint64 // identifies the attempt to the agent; later attempts have larger numbers
	// taskListNumber is the number of the last task list that contained the attempt. The leader
	// numbers the task lists of all machines in the order in which it applies them.
	taskListNumber uint64
	listedInEpoch  uint64    // epoch of the agent in that task list
	createdAt      time.Time // see CreatedAt
	runningAt      time.Time // when the machine first reported it as running, or zero
	startDelivery
	stopRequest
}

// startDelivery records in which ways the start of an attempt was sent and may still be executed.
type startDelivery struct {
	// startResponseSequence is the sequence number of the heartbeat in whose response the start was
	// last sent. It is 0 if no response has contained the start, or once it is certain that the
	// agent will never execute it.
	startResponseSequence uint64
	// directStartMayArrive is set while a direct call with the start has had no reply. The agent may
	// execute that start at any later time in the session. So the attempt keeps its resources. As
	// the start may also be lost, it is sent again in responses to heartbeats.
	directStartMayArrive bool
	directStartAt        time.Time // when a direct call with the start was last made, or zero
}

// stopRequest records whether and how an attempt is to be stopped.
type stopRequest struct {
	gracePeriodS   float64 // for saving a checkpoint
	stopping       bool    // a stop was requested
	directStopSent bool    // the stop was sent by a direct call
	// evicting: a drain stops the attempt once the charge against the team's budget is durable.
	evicting bool
}

// NewPossiblyStartedAttempt returns an attempt that an earlier leader may have started.
func NewPossiblyStartedAttempt(m *Machine, j *jobs.Job, index int32, now time.Time) *Attempt {
	return &Attempt{Machine: m, Job: j, Index: index, state: PossiblyStarted, createdAt: now}
}

// NewPendingAttempt returns an attempt whose start is sent once its start record is durable.
func NewPendingAttempt(m *Machine, j *jobs.Job, index int32, now time.Time, number uint64, placedWhileAged bool) *Attempt {
	return &Attempt{
		Machine: m, Job: j, Index: index,
		number: number, state: RecordPending, createdAt: now, placedWhileAged: placedWhileAged,
	}
}

// Number returns the number of the attempt; later attempts have larger ones.
func (a *Attempt) Number() uint64 { return a.number }

// State returns the state of the attempt.
func (a *Attempt) State() AttemptState { return a.state }

// CreatedAt returns when the start was decided. For an attempt of an earlier leader, it returns when
// this leader learned of the attempt.
func (a *Attempt) CreatedAt() time.Time { return a.createdAt }

// IsAllocated reports whether the attempt's resources are counted as used on its machine.
func (a *Attempt) IsAllocated() bool { return a.allocated }

// PlacedWhileAged reports whether the attempt was placed while its job counted as aged. Preemption
// lets such an attempt run for tuning.AgedMinRunTime.
func (a *Attempt) PlacedWhileAged() bool { return a.placedWhileAged }

// HasRun reports whether the machine has reported the attempt as running.
func (a *Attempt) HasRun() bool { return !a.runningAt.IsZero() }

// RunTime returns the time since the attempt was first reported as running. The result has no
// meaning if HasRun returns false.
func (a *Attempt) RunTime(now time.Time) time.Duration { return now.Sub(a.runningAt) }

// ShouldRun reports whether the attempt's task is still needed and the attempt isn't being
// stopped.
func (a *Attempt) ShouldRun() bool { return !a.stopping && a.IsNeeded() }

// IsNeeded reports whether the job still needs the attempt's task to run, on any machine.
func (a *Attempt) IsNeeded() bool { return a.Job.NeedsTask(int(a.Index)) }

// changeState changes to the next state. It panics on an illegal transition, which is a bug in
// the caller.
func (a *Attempt) changeState(next AttemptState) {
	if !a.state.CanBecome(next) {
		panic(fmt.Sprintf("machines: an attempt that is %v can't become %v", a.state, next))
	}
	a.state = next
}

// MarkStartRecorded records that the start record is durable, so that the start may be sent.
func (a *Attempt) MarkStartRecorded() { a.changeState(StartSent) }

// MarkInTaskList records that a task list contains the task with the given attempt number. If
// the attempt's own number differs, it is replaced: the agent refuses a newer attempt while it has
// another one of the same task, so only the listed attempt can be on the machine.
func (a *Attempt) MarkInTaskList(listNumber, number uint64) {
	a.taskListNumber, a.number, a.listedInEpoch = listNumber, number, a.Machine.epoch
}

// MarkExitInTaskList records that a task list contains the attempt as exited.
func (a *Attempt) MarkExitInTaskList(listNumber uint64) { a.taskListNumber = listNumber }

// IsInTaskList reports whether the last task list that contained the attempt has the given number.
func (a *Attempt) IsInTaskList(listNumber uint64) bool { return a.taskListNumber == listNumber }

// ApplyReport applies the state that the machine reports. It returns true if the report is the
// first one that shows the attempt as running or saving.
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

// MarkExited records whether the ended attempt saved a checkpoint, and whether it failed.
func (a *Attempt) MarkExited(checkpointSaved, failed bool) {
	a.checkpointSaved, a.failed = checkpointSaved, failed
}

// HasFailed reports whether the task itself ended with an error.
func (a *Attempt) HasFailed() bool { return a.failed }

// RecordProgress adds the progress of an ended attempt to its job.
func (a *Attempt) RecordProgress(now time.Time) {
	if a.HasRun() {
		a.Job.RecordProgress(a.Index, a.RunTime(now).Seconds(), a.checkpointSaved)
	}
}

// LostProgressS returns the run time in seconds that would be lost if the attempt ended now.
func (a *Attempt) LostProgressS(now time.Time) float64 {
	switch {
	case a.checkpointSaved:
		return 0
	case a.Job.CheckpointIntervalS > 0:
		return a.UnsavedProgressS(now)
	}
	return a.RunTime(now).Seconds()
}

// UnsavedProgressS returns the run time in seconds since the last periodic checkpoint. The
// checkpoint interval of the job must not be 0.
func (a *Attempt) UnsavedProgressS(now time.Time) float64 {
	return math.Mod(a.RunTime(now).Seconds(), a.Job.CheckpointIntervalS)
}

// TaskName returns the name that the task has in the protocol with the agents.
func (a *Attempt) TaskName() string { return wire.TaskName(a.Job.ID, int(a.Index)) }
