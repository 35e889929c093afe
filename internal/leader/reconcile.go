package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// reconcileTasks compares the machine's complete task list with its attempts. Only a heartbeat
// that the agent sent on its own (periodic) proves that the starts in earlier responses were not
// executed: the reply to a direct call may overtake these responses.
func (l *Leader) reconcileTasks(now time.Time, m *machines.Machine, r *wire.Heartbeat, periodic bool) {
	l.taskListNumber++
	m.ClearExited()
	for i := range r.Tasks {
		l.applyTask(now, m, &r.Tasks[i])
	}
	if periodic {
		l.recordIgnoredStarts(now, m)
	}
	l.releaseUnlisted(now, m, periodic)
	if first := m.MarkReconciled(now); first {
		l.passRequested = true
		l.log.Debug().Str("machine", m.ID).Int("tasks", len(r.Tasks)).Msg("machine reconciled")
	}
}

// applyTask applies one entry of a machine's task list.
func (l *Leader) applyTask(now time.Time, m *machines.Machine, t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := l.jobs.Get(id)
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// The job has ended or is unknown; stopCommands stops the task if it has not exited.
		if t.State == wire.TaskExited {
			recordExited(m, t, true)
		}
	case t.State == wire.TaskExited:
		l.applyExitedTask(now, m, j, int32(index), t)
	default:
		l.applyLiveTask(now, m, j, int32(index), t)
	}
}

// recordExited records an exited task; with forget, the agent is told to forget it.
func recordExited(m *machines.Machine, t *wire.TaskStatus, forget bool) {
	key := machines.ExitKey{Task: t.Task, Attempt: t.Attempt}
	m.AddExited(key, forget)
}

// applyExitedTask applies the entry of a task that has exited.
func (l *Leader) applyExitedTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	switch {
	case a != nil && (a.Number() == t.Attempt || a.State() == machines.PossiblyStarted):
		a.MarkExitListed(l.taskListNumber)
		if a.State() == machines.StartSent {
			m.RecordStartObserved()
		}
		if a.WasSentDirectly() {
			m.RetainExit(machines.ExitKey{Task: t.Task, Attempt: t.Attempt})
		}
		l.applyExit(now, a, t)
	case t.ExitReason == wire.ExitDone:
		l.recordCompletion(now, j, index)
	}
	recordExited(m, t, t.ExitReason != wire.ExitDone || j.IsCompletionStored(index))
}

// applyLiveTask applies the entry of a task that has not exited.
func (l *Leader) applyLiveTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	if a == nil {
		a = machines.NewAttempt(m, j, index, now)
		l.ledger.Allocate(a)
		// No record names this attempt any more, or none ever did, but a successor has to know
		// of it.
		l.startLog.Add(a)
		if j.IsActive() {
			j.RemoveReadyTask(index)
		}
	}
	a.MarkListed(l.taskListNumber, t.Attempt)
	if !j.NeedsTask(int(index)) {
		a.StopNow()
	}
	if a.State() == machines.StartSent {
		m.RecordStartObserved()
	}
	if began := a.ApplyReport(now, machines.ReportedState(t.State)); began {
		l.recordRunning(now, a)
	}
}

// recordRunning records that an attempt has begun to run.
func (l *Leader) recordRunning(now time.Time, a *machines.Attempt) {
	m, j := a.Machine, a.Job
	j.AddRunning()
	if m.HasImage(j.Image) && a.Number()>>32 == l.term {
		l.startDelay.Observe(now.Sub(a.CreatedAt()).Seconds(), l.params.Workers.HeartbeatIntervalS)
	}
	m.RecordImage(now, j.Image)
	l.passRequested = true
	l.drainer.RecordTaskRunning(a)
}

// recordIgnoredStarts records that an earlier response with starts had no effect.
func (l *Leader) recordIgnoredStarts(now time.Time, m *machines.Machine) {
	if slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return !a.IsListed(l.taskListNumber) && a.State() == machines.StartSent && a.WasSentInResponse()
	}) {
		m.RecordIgnoredResponse(now)
	}
}

// releaseUnlisted releases the attempts that the task list just applied proves absent.
func (l *Leader) releaseUnlisted(now time.Time, m *machines.Machine, periodic bool) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		a := m.Attempts()[i]
		switch {
		case a.IsListed(l.taskListNumber), a.State() == machines.RecordPending:
		case a.State() != machines.StartSent:
			l.releaseAttempt(now, a)
		case a.WasSentDirectly():
			l.scheduleFencingRelease(now, a)
		case periodic || !a.WasSentInResponse():
			// The start was sent only in a response that the agent no longer waits for: it has
			// not been executed and never will be.
			a.MarkResponseIgnored()
			if !a.ShouldRun() || !l.isSchedulable(now, m) {
				l.releaseAttempt(now, a)
			}
		}
	}
}

// scheduleFencingRelease schedules the release of a machine if a start that may still reach it
// is of a task that must no longer run.
func (l *Leader) scheduleFencingRelease(now time.Time, a *machines.Attempt) {
	m := a.Machine
	if a.ShouldRun() || m.ReleaseRequired() {
		return
	}
	m.Cordon(machines.CordonLateStart)
	fenceFrom := a.Job.EndedAt()
	if fenceFrom.IsZero() {
		fenceFrom = now // the task is done, but its job has not ended
	}
	m.RequireRelease(fenceFrom.Add(lateStartLimit(l.params.Workers)))
}

// applyExit handles the exit of a task by its reason.
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
