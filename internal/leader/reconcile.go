package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// reconcileTasks compares the machine's complete task list with its attempts. periodic is false if
// the heartbeat is the agent's reply to a direct call. If the list in a periodic heartbeat lacks a task
// whose start the leader sent in its response to an earlier heartbeat, the start was not executed. The
// list in a reply does not prove that, because the agent may have sent the reply before the leader's
// response arrived. It returns false, and releases no attempt, if the list comes from an agent that has
// replaced the known one.
func (l *Leader) reconcileTasks(now time.Time, m *machines.Machine, h *wire.Heartbeat, periodic bool) (accepted bool) {
	l.taskListNumber++
	m.ClearExited()
	for i := range h.Tasks {
		l.applyListedTask(now, m, &h.Tasks[i])
	}
	if !l.verifier.acceptsTaskList(m, h, l.taskListNumber) {
		return false
	}
	if periodic {
		l.recordIneffectiveResponse(now, m)
	}
	l.releaseUnlisted(now, m, periodic)
	if first := m.MarkReconciled(now); first {
		l.schedulingPassRequested = true
		l.log.Debug().Str("machine", m.ID).Int("tasks", len(h.Tasks)).Msg("machine reconciled")
	}
	return true
}

// applyListedTask applies one entry of a machine's task list.
func (l *Leader) applyListedTask(now time.Time, m *machines.Machine, t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := l.jobs.Get(id)
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// The job has ended or is unknown. If the task has not exited, the response contains a stop for
		// it (see stopCommands).
		if t.State == wire.TaskExited {
			recordExited(m, t, true /* mayForget */)
		}
	case t.State == wire.TaskExited:
		l.applyExitedTask(now, m, j, int32(index), t)
	default:
		l.applyLiveTask(now, m, j, int32(index), t)
	}
}

// recordExited records an exited task. If mayForget is true, the agent is told to forget the task.
func recordExited(m *machines.Machine, t *wire.TaskStatus, mayForget bool) {
	key := machines.ExitKey{Task: t.Task, Attempt: t.Attempt}
	m.AddExited(key, mayForget)
}

// applyExitedTask applies the entry of a task that has exited.
func (l *Leader) applyExitedTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	switch {
	// An attempt in state PossiblyStarted was started under an earlier leader, so its number is not
	// known and any number matches.
	case a != nil && (a.Number() == t.Attempt || a.State() == machines.PossiblyStarted):
		a.MarkExitInTaskList(l.taskListNumber)
		if a.State() == machines.StartSent {
			m.RecordStartExecuted()
		}
		l.applyExit(now, a, t)
	case t.ExitReason == wire.ExitDone:
		l.recordCompletion(now, j, index)
	}
	// The agent must not forget a done task until its completion is durable. Otherwise a successor
	// would not learn that the task is done.
	recordExited(m, t, t.ExitReason != wire.ExitDone || j.IsCompletionDurable(index))
}

// applyLiveTask applies the entry of a task that has not exited.
func (l *Leader) applyLiveTask(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := m.Find(j, index)
	if a == nil {
		a = l.addUnrecordedAttempt(now, m, j, index, t)
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

// addUnrecordedAttempt adds an attempt that a machine reports although no start record names it. Starts
// are recorded before they are sent, so the agent has executed a command a second time, or a record was
// lost. If another machine may have the task, the attempt is stopped.
func (l *Leader) addUnrecordedAttempt(now time.Time, m *machines.Machine, j *jobs.Job, index int32, t *wire.TaskStatus) *machines.Attempt {
	otherMachines := j.AllocationsOf(index)
	l.log.Warn().Str("machine", m.ID).Str("task", t.Task).Uint64("attempt", t.Attempt).Uint64("term", l.term).
		Int("other_machines", otherMachines).Msg("machine reports a task without a start record")
	a := machines.NewPossiblyStartedAttempt(m, j, index, now)
	l.ledger.Allocate(a)
	// A successor must find the attempt in a start record. No record contains it now, so it is added
	// to one.
	l.startLog.Add(a)
	if j.IsActive() {
		j.RemoveReadyTask(index)
	}
	if otherMachines > 0 {
		a.RequestStop()
	}
	return a
}

// recordRunning records that an attempt has begun to run.
func (l *Leader) recordRunning(now time.Time, a *machines.Attempt) {
	m, j := a.Machine, a.Job
	j.AddRunningAttempt()
	// The start delay is measured only for tasks that needed no image fetch, and whose start was
	// decided in this term. The upper 32 bits of an attempt number contain the term.
	if m.HasImage(j.Image) && a.Number()>>32 == l.term {
		l.startDelay.Observe(now.Sub(a.CreatedAt()).Seconds(), l.params.Workers.HeartbeatIntervalS)
	}
	m.RecordImage(now, j.Image)
	l.schedulingPassRequested = true
	l.drainer.RecordTaskRunning(a)
}

// recordIneffectiveResponse records that the agent has not executed the starts of an earlier response,
// if the task list lacks a task whose start was in that response.
func (l *Leader) recordIneffectiveResponse(now time.Time, m *machines.Machine) {
	if slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return !a.IsInTaskList(l.taskListNumber) && a.State() == machines.StartSent && a.ResponseStartMayTakeEffect()
	}) {
		m.RecordIneffectiveResponse(now)
	}
}

// releaseUnlisted releases attempts that the newest task list lacks, if this proves that they are not
// on the machine.
func (l *Leader) releaseUnlisted(now time.Time, m *machines.Machine, periodic bool) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		a := m.Attempts()[i]
		switch {
		case a.IsInTaskList(l.taskListNumber), a.State() == machines.RecordPending:
			// The task is on the machine, or its start must not be sent yet.
		case a.State() != machines.StartSent:
			// The task was on the machine, or may have been there, and is not there any more.
			l.releaseAttempt(now, a)
		case a.DirectStartMayArrive():
			// The start may still arrive late, so the attempt is kept.
			l.requireFencingRelease(now, a)
		case periodic || !a.ResponseStartMayTakeEffect():
			// The start was not sent, or only in the response to an earlier heartbeat. Once the agent
			// has sent the next periodic heartbeat, it no longer waits for that response. So the
			// start was not executed and never will be. It is sent again if the task should still
			// run on this machine.
			a.MarkResponseStartIneffective()
			if !a.ShouldRun() || !l.isSchedulable(now, m) {
				l.releaseAttempt(now, a)
			}
		}
	}
}

// requireFencingRelease cordons the attempt's machine and sets the time after which it is released, if the
// task must no longer run. The machine may still receive the task's start, and only the machine's release
// proves that the task can't run there.
func (l *Leader) requireFencingRelease(now time.Time, a *machines.Attempt) {
	m := a.Machine
	if a.ShouldRun() || m.IsReleaseRequired() {
		return
	}
	m.Cordon(machines.CordonLateStart)
	unneededSince := a.Job.EndedAt()
	if unneededSince.IsZero() {
		unneededSince = now // the job has not ended, but this attempt must not run
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
			l.runTimeRatios.Observe(j, a.RunTime(now).Seconds()+j.CheckpointedRunTimeS(a.Index))
		}
		l.recordTaskSuccess(now, j, m)
		m.RecordImage(now, j.Image)
		l.recordCompletion(now, j, a.Index)
	case wire.ExitError:
		l.log.Debug().Str("machine", m.ID).Str("task", t.Task).Msg("task failed")
		j.CountFailure(now)
		l.recordTaskFailure(now, j, m)
	case wire.ExitNoCapacity, wire.ExitTaskBusy: // busy: another attempt of the task is on the machine
		m.MarkTaskRefused(now.Add(tuning.RefusedTaskBackoff))
	case wire.ExitUnknown: // the agent finds no such job, which has not been uploaded yet
		j.DelayUntil(now.Add(tuning.UnknownJobBackoff))
	}
	l.releaseAttempt(now, a)
}
