package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// reconcileTasks compares the machine's complete task list with its attempts. periodic is false for
// the heartbeat in the reply to a direct call. If a task list lacks a start from an earlier
// response, only a periodic heartbeat proves that the start was not executed: the agent may have
// replied to a direct call before it received that response.
func (l *Leader) reconcileTasks(now time.Time, m *machines.Machine, h *wire.Heartbeat, periodic bool) {
	l.taskListNumber++
	m.ClearExited()
	for i := range h.Tasks {
		l.applyListedTask(now, m, &h.Tasks[i])
	}
	if periodic {
		l.recordIgnoredStarts(now, m)
	}
	l.releaseUnlisted(now, m, periodic)
	if first := m.MarkReconciled(now); first {
		l.schedulingPassRequested = true
		l.log.Debug().Str("machine", m.ID).Int("tasks", len(h.Tasks)).Msg("machine reconciled")
	}
}

// applyListedTask applies one entry of a machine's task list.
func (l *Leader) applyListedTask(now time.Time, m *machines.Machine, t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := l.jobs.Get(id)
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// The job has ended or is unknown; stopCommands stops the task if it has not exited.
		if t.State == wire.TaskExited {
			recordExited(m, t, true) // unneeded
		}
	case t.State == wire.TaskExited:
		l.applyExitedTask(now, m, j, int32(index), t)
	default:
		l.applyLiveTask(now, m, j, int32(index), t)
	}
}

// recordExited records an exited task. If unneeded is true, the agent is told to forget the task,
// unless its start may still arrive.
func recordExited(m *machines.Machine, t *wire.TaskStatus, unneeded bool) {
	key := machines.ExitKey{Task: t.Task, Attempt: t.Attempt}
	m.AddExited(key, unneeded)
}

// applyExitedTask applies the entry of a task that has exited.
func (l *Leader) applyExitedTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	switch {
	// The number of an attempt that was possibly started under an earlier leader is not known.
	case a != nil && (a.Number() == t.Attempt || a.State() == machines.PossiblyStarted):
		a.MarkExitInTaskList(l.taskListNumber)
		if a.State() == machines.StartSent {
			m.RecordStartExecuted()
		}
		if a.StartSentDirectly() {
			// The start may still arrive. An agent that had forgotten the attempt would run it again.
			m.RetainExit(machines.ExitKey{Task: t.Task, Attempt: t.Attempt})
		}
		l.applyExit(now, a, t)
	case t.ExitReason == wire.ExitDone:
		l.recordCompletion(now, j, index)
	}
	// The agent has to remember a done task until the completion is durable.
	recordExited(m, t, t.ExitReason != wire.ExitDone || j.IsCompletionDurable(index))
}

// applyLiveTask applies the entry of a task that has not exited.
func (l *Leader) applyLiveTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	if a == nil {
		a = machines.NewPossiblyStartedAttempt(m, j, index, now)
		l.ledger.Allocate(a)
		// No start record names this attempt, or none does any more, but a successor has to find it
		// in one.
		l.startLog.Add(a)
		if j.IsActive() {
			j.RemoveReadyTask(index)
		}
	}
	a.MarkInTaskList(l.taskListNumber, t.Attempt)
	if !j.NeedsTask(int(index)) {
		a.RequestStop()
	}
	if a.State() == machines.StartSent {
		m.RecordStartExecuted()
	}
	if began := a.ApplyReport(now, machines.ReportedState(t.State)); began {
		l.recordRunning(now, a)
	}
}

// recordRunning records that an attempt has begun to run.
func (l *Leader) recordRunning(now time.Time, a *machines.Attempt) {
	m, j := a.Machine, a.Job
	j.AddRunningAttempt()
	// The delay is measured without an image fetch. The upper half of an attempt number is the term.
	if m.HasImage(j.Image) && a.Number()>>32 == l.term {
		l.startDelay.Observe(now.Sub(a.CreatedAt()).Seconds(), l.params.Workers.HeartbeatIntervalS)
	}
	m.RecordImage(now, j.Image)
	l.schedulingPassRequested = true
	l.drainer.RecordTaskRunning(a)
}

// recordIgnoredStarts records that an earlier response had no effect if the task list lacks one of
// its starts.
func (l *Leader) recordIgnoredStarts(now time.Time, m *machines.Machine) {
	if slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return !a.IsInTaskList(l.taskListNumber) && a.State() == machines.StartSent && a.StartSentInResponse()
	}) {
		m.RecordIneffectiveResponse(now)
	}
}

// releaseUnlisted releases the attempts that are certainly not on the machine, because the task
// list just applied lacks them.
func (l *Leader) releaseUnlisted(now time.Time, m *machines.Machine, periodic bool) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		a := m.Attempts()[i]
		switch {
		case a.IsInTaskList(l.taskListNumber), a.State() == machines.RecordPending:
			// The task is on the machine, or its start must not be sent yet.
		case a.State() != machines.StartSent:
			l.releaseAttempt(now, a)
		case a.StartSentDirectly():
			l.requireFencingRelease(now, a)
		case periodic || !a.StartSentInResponse():
			// The start was not sent, or only in a response that the agent no longer waits for. So
			// it has not been executed and never will be.
			a.MarkStartResponseIneffective()
			if !a.ShouldRun() || !l.isSchedulable(now, m) {
				l.releaseAttempt(now, a)
			}
		}
	}
}

// requireFencingRelease requires the release of a machine that may still receive the start of a
// task that must no longer run.
func (l *Leader) requireFencingRelease(now time.Time, a *machines.Attempt) {
	m := a.Machine
	if a.ShouldRun() || m.IsReleaseRequired() {
		return
	}
	m.Cordon(machines.CordonLateStart)
	unneededSince := a.Job.EndedAt()
	if unneededSince.IsZero() {
		unneededSince = now // the task must not run, but its job has not ended
	}
	m.RequireRelease(unneededSince.Add(lateStartLimit(l.params.Workers)))
}

// applyExit applies the exit of a task according to its reason, and releases the attempt.
func (l *Leader) applyExit(now time.Time, a *machines.Attempt, t *wire.TaskStatus) {
	m, j := a.Machine, a.Job
	a.MarkExited(t.CheckpointSaved, t.ExitReason == wire.ExitError)
	switch t.ExitReason {
	case wire.ExitDone:
		if a.State() == machines.Running && a.HasRun() {
			l.runTimes.Observe(j, a.RunTime(now).Seconds()+j.Progress(a.Index))
		}
		l.recordTaskSuccess(j, m)
		m.RecordImage(now, j.Image)
		l.recordCompletion(now, j, a.Index)
	case wire.ExitError:
		l.log.Debug().Str("machine", m.ID).Str("task", t.Task).Msg("task failed")
		j.RecordFailure(now)
		l.recordTaskFailure(j, m)
	case wire.ExitNoCapacity, wire.ExitTaskBusy:
		m.MarkFull(now.Add(tuning.FullMachineBackoff))
	case wire.ExitUnknown:
		j.DelayUntil(now.Add(tuning.UnknownJobBackoff))
	}
	l.releaseAttempt(now, a)
}
