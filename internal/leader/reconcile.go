package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// reconcileTasks compares the machine's complete task list with what is known. Only a heartbeat
// that the agent sent by itself (periodic) proves that the starts in earlier
// responses did not run: the reply to a direct call may overtake them.
func (l *Leader) reconcileTasks(now time.Time, m *machines.Machine, r *wire.Heartbeat, periodic bool) {
	l.listNumber++
	m.ClearExited()
	for i := range r.Tasks {
		l.applyTask(now, m, &r.Tasks[i])
	}
	if periodic {
		l.countIgnoredStarts(now, m)
	}
	l.releaseUnlisted(now, m, periodic)
	if first := m.MarkReconciled(now); first {
		l.changed = true
		l.log.Debug().Str("machine", m.ID).Int("tasks", len(r.Tasks)).Msg("machine reconciled")
	}
}

// applyTask applies one entry of a machine's task list.
func (l *Leader) applyTask(now time.Time, m *machines.Machine, t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := l.jobs.Get(id)
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// Of a job that has ended, or unknown: stopCommands stops what has not exited.
		if t.State == wire.TaskExited {
			recordExited(m, t, true)
		}
	case t.State == wire.TaskExited:
		l.applyExitedTask(now, m, j, int32(index), t)
	default:
		l.applyLiveTask(now, m, j, int32(index), t)
	}
}

// recordExited keeps an exited entry, to be forgotten by the agent if it is unneeded.
func recordExited(m *machines.Machine, t *wire.TaskStatus, unneeded bool) {
	key := machines.ExitKey{Task: t.Task, Attempt: t.Attempt}
	m.AddExited(key, unneeded)
}

// applyExitedTask applies an entry of a task that has exited.
func (l *Leader) applyExitedTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	switch {
	case a != nil && (a.Number() == t.Attempt || a.State() == machines.PossiblyStarted):
		a.MarkExitListed(l.listNumber)
		if a.State() == machines.StartSent {
			m.RecordStartObserved()
		}
		if a.WasSentDirectly() {
			m.RetainExit(machines.ExitKey{Task: t.Task, Attempt: t.Attempt})
		}
		l.applyExit(now, a, t)
	case t.ExitReason == wire.ExitDone:
		l.taskDone(now, j, index)
	}
	recordExited(m, t, t.ExitReason != wire.ExitDone || j.IsCompletionStored(index))
}

// applyLiveTask applies an entry of a task that has not exited.
func (l *Leader) applyLiveTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	if a == nil {
		a = machines.NewAttempt(m, j, index, now)
		l.ledger.Allocate(a)
		// No record names it any more, or none ever did, but a successor has to
		// know of it.
		l.starts.Add(a)
		if j.IsActive() {
			j.RemoveReadyTask(index)
		}
	}
	a.MarkListed(l.listNumber, t.Attempt)
	if !j.NeedsTask(int(index)) {
		a.StopNow()
	}
	if a.State() == machines.StartSent {
		m.RecordStartObserved()
	}
	if began := a.ApplyReport(now, machines.ReportedState(t.State)); began {
		l.countRunning(now, a)
	}
}

// countRunning notes that an attempt has begun to run.
func (l *Leader) countRunning(now time.Time, a *machines.Attempt) {
	m, j := a.Machine, a.Job
	j.AddRunning()
	if m.HasImage(j.Image) && a.Number()>>32 == l.term {
		l.startDelay.Observe(now.Sub(a.CreatedAt()).Seconds(), l.params.Workers.HeartbeatIntervalS)
	}
	m.RecordImage(now, j.Image)
	l.changed = true
	l.drainer.RecordRunning(a)
}

// countIgnoredStarts notes that starts in an earlier response had no effect.
func (l *Leader) countIgnoredStarts(now time.Time, m *machines.Machine) {
	if slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return !a.IsListed(l.listNumber) && a.State() == machines.StartSent && a.WasSentInResponse()
	}) {
		m.RecordIgnoredResponse(now)
	}
}

// releaseUnlisted releases the attempts that the list just applied proves absent.
func (l *Leader) releaseUnlisted(now time.Time, m *machines.Machine, periodic bool) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		a := m.Attempts()[i]
		switch {
		case a.IsListed(l.listNumber), a.State() == machines.RecordPending:
		case a.State() != machines.StartSent:
			l.release(now, a)
		case a.WasSentDirectly():
			l.scheduleFencingRelease(now, a)
		case periodic || !a.WasSentInResponse():
			// The start has not run and never will, as it was sent only in a
			// response that the agent no longer waits for.
			a.MarkResponseIgnored()
			if !a.ShouldRun() || !l.acceptsWork(now, m) {
				l.release(now, a)
			}
		}
	}
}

// scheduleFencingRelease has a machine released in time if a start that may still reach it is of
// a task that is not to run any more.
func (l *Leader) scheduleFencingRelease(now time.Time, a *machines.Attempt) {
	m := a.Machine
	if a.ShouldRun() || m.ReleaseRequired() {
		return
	}
	m.Cordon(machines.CordonLateStart)
	from := a.Job.EndedAt()
	if from.IsZero() {
		from = now // only the task is done
	}
	m.RequireRelease(from.Add(lateStartBound(l.params.Workers)))
}

// applyExit handles the end of an attempt by its reason.
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
		l.taskDone(now, j, a.Index)
	case wire.ExitError:
		l.log.Debug().Str("machine", m.ID).Str("task", t.Task).Msg("task failed")
		j.RecordFailure(now)
		l.recordTaskFailure(j, m)
	case wire.ExitNoCapacity, wire.ExitTaskBusy:
		m.MarkFull(now.Add(tuning.FullMachineBackoff))
	case wire.ExitUnknown:
		j.DelayUntil(now.Add(tuning.UnknownJobBackoff))
	}
	l.release(now, a)
}
