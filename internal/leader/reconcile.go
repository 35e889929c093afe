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
	r := &reconciliation{Leader: l, now: now, machine: m}
	m.ClearExited()
	for i := range h.Tasks {
		r.applyListedTask(&h.Tasks[i])
	}
	if !l.verifier.acceptsTaskList(m, h, l.taskListNumber) {
		return false
	}
	if periodic {
		r.recordIneffectiveResponse()
	}
	r.releaseUnlisted(periodic)
	if first := m.MarkReconciled(now); first {
		l.schedulingPassRequested = true
		l.log.Debug().Str("machine", m.ID).Int("tasks", len(h.Tasks)).Msg("machine reconciled")
	}
	return true
}

// reconciliation applies one task list of a machine.
type reconciliation struct {
	*Leader
	now     time.Time
	machine *machines.Machine
}

// applyListedTask applies one entry of a machine's task list.
func (r *reconciliation) applyListedTask(t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := r.jobs.Get(id)
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// The job has ended or is unknown. If the task has not exited, the response contains a stop for
		// it (see stopCommands).
		if t.State == wire.TaskExited {
			r.recordExited(t, true /* mayForget */)
		}
	case t.State == wire.TaskExited:
		r.applyExitedTask(j, int32(index), t)
	default:
		r.applyLiveTask(j, int32(index), t)
	}
}

// recordExited records an exited task. If mayForget is true, the agent is told to forget the task.
func (r *reconciliation) recordExited(t *wire.TaskStatus, mayForget bool) {
	key := machines.ExitKey{Task: t.Task, Attempt: t.Attempt}
	r.machine.AddExited(key, mayForget)
}

// applyExitedTask applies the entry of a task that has exited.
func (r *reconciliation) applyExitedTask(j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := r.machine.Find(j, index)
	switch {
	// An attempt in state PossiblyStarted was started under an earlier leader, so its number is not
	// known and any number matches.
	case a != nil && (a.Number() == t.Attempt || a.State() == machines.PossiblyStarted):
		a.MarkExitInTaskList(r.taskListNumber)
		if a.State() == machines.StartSent {
			r.machine.RecordStartExecuted()
		}
		r.applyExit(a, t)
	case t.ExitReason == wire.ExitDone:
		r.recordCompletion(r.now, j, index)
	}
	// The agent must not forget a done task until its completion is durable. Otherwise a successor
	// would not learn that the task is done.
	r.recordExited(t, t.ExitReason != wire.ExitDone || j.IsCompletionDurable(index))
}

// applyLiveTask applies the entry of a task that has not exited.
func (r *reconciliation) applyLiveTask(j *jobs.Job, index int32, t *wire.TaskStatus) {
	a := r.machine.Find(j, index)
	if a == nil {
		a = r.addUnrecordedAttempt(j, index, t)
	}
	a.MarkInTaskList(r.taskListNumber, t.Attempt)
	if !j.NeedsTask(int(index)) {
		a.RequestStop()
	}
	if a.State() == machines.StartSent {
		r.machine.RecordStartExecuted()
	}
	if began := a.ApplyReport(r.now, machines.ReportedState(t.State)); began {
		r.recordRunning(a)
	}
}

// addUnrecordedAttempt adds an attempt that a machine reports although no start record names it. Starts
// are recorded before they are sent, so the agent has executed a command a second time, or a record was
// lost. If another machine may have the task, the attempt is stopped.
func (r *reconciliation) addUnrecordedAttempt(j *jobs.Job, index int32, t *wire.TaskStatus) *machines.Attempt {
	otherMachines := j.AllocationsOf(index)
	r.log.Warn().Str("machine", r.machine.ID).Str("task", t.Task).Uint64("attempt", t.Attempt).Uint64("term", r.term).
		Int("other_machines", otherMachines).Msg("machine reports a task without a start record")
	a := machines.NewPossiblyStartedAttempt(r.machine, j, index, r.now)
	r.ledger.Allocate(a)
	// A successor must find the attempt in a start record. No record contains it now, so it is added
	// to one.
	r.startLog.Add(a)
	if j.IsActive() {
		j.RemoveReadyTask(index)
	}
	if otherMachines > 0 {
		a.RequestStop()
	}
	return a
}

// recordRunning records that an attempt has begun to run.
func (r *reconciliation) recordRunning(a *machines.Attempt) {
	j := a.Job
	j.AddRunningAttempt()
	// The start delay is measured only for tasks that needed no image fetch, and whose start was
	// decided in this term. The upper 32 bits of an attempt number contain the term.
	if r.machine.HasImage(j.Image) && a.Number()>>32 == r.term {
		r.startDelay.Observe(r.now.Sub(a.CreatedAt()).Seconds(), r.params.Workers.HeartbeatIntervalS)
	}
	r.machine.RecordImage(r.now, j.Image)
	r.schedulingPassRequested = true
	r.drainer.RecordTaskRunning(a)
}

// recordIneffectiveResponse records that the agent has not executed the starts of an earlier response,
// if the task list lacks a task whose start was in that response.
func (r *reconciliation) recordIneffectiveResponse() {
	if slices.ContainsFunc(r.machine.Attempts(), func(a *machines.Attempt) bool {
		return !a.IsInTaskList(r.taskListNumber) && a.State() == machines.StartSent && a.ResponseStartMayTakeEffect()
	}) {
		r.machine.RecordIneffectiveResponse(r.now)
	}
}

// releaseUnlisted releases attempts that the newest task list lacks, if this proves that they are not
// on the machine.
func (r *reconciliation) releaseUnlisted(periodic bool) {
	for i := len(r.machine.Attempts()) - 1; i >= 0; i-- {
		a := r.machine.Attempts()[i]
		switch {
		case a.IsInTaskList(r.taskListNumber), a.State() == machines.RecordPending:
			// The task is on the machine, or its start must not be sent yet.
		case a.State() != machines.StartSent:
			// The task was on the machine, or may have been there, and is not there any more.
			r.releaseAttempt(r.now, a)
		case a.DirectStartMayArrive():
			// The start may still arrive late, so the attempt is kept.
			r.requireFencingRelease(a)
		case periodic || !a.ResponseStartMayTakeEffect():
			// The start was not sent, or only in the response to an earlier heartbeat. Once the agent
			// has sent the next periodic heartbeat, it no longer waits for that response. So the
			// start was not executed and never will be. It is sent again if the task should still
			// run on this machine.
			a.MarkResponseStartIneffective()
			if !a.ShouldRun() || !r.isSchedulable(r.now, r.machine) {
				r.releaseAttempt(r.now, a)
			}
		}
	}
}

// requireFencingRelease cordons the attempt's machine and sets the time after which it is released, if the
// task must no longer run. The machine may still receive the task's start, and only the machine's release
// proves that the task can't run there.
func (r *reconciliation) requireFencingRelease(a *machines.Attempt) {
	if a.ShouldRun() || r.machine.IsReleaseRequired() {
		return
	}
	r.machine.Cordon(machines.CordonLateStart)
	unneededSince := a.Job.EndedAt()
	if unneededSince.IsZero() {
		unneededSince = r.now // the job has not ended, but this attempt must not run
	}
	r.machine.RequireRelease(unneededSince.Add(lateStartLimit(r.params.Workers)))
}

// applyExit applies the exit of a task according to its reason, and releases the attempt.
func (r *reconciliation) applyExit(a *machines.Attempt, t *wire.TaskStatus) {
	j := a.Job
	a.MarkExited(t.CheckpointSaved, t.ExitReason == wire.ExitError)
	switch t.ExitReason {
	case wire.ExitDone:
		if a.State() == machines.Running && a.HasRun() {
			r.runTimeRatios.Observe(j, a.RunTime(r.now).Seconds()+j.CheckpointedRunTimeS(a.Index))
		}
		r.failures.recordTaskSuccess(r.now, j, r.machine)
		r.machine.RecordImage(r.now, j.Image)
		r.recordCompletion(r.now, j, a.Index)
	case wire.ExitError:
		r.log.Debug().Str("machine", r.machine.ID).Str("task", t.Task).Msg("task failed")
		j.CountFailure(r.now)
		r.failures.recordTaskFailure(r.now, j, r.machine)
	case wire.ExitNoCapacity, wire.ExitTaskBusy: // busy: another attempt of the task is on the machine
		r.machine.MarkTaskRefused(r.now.Add(tuning.RefusedTaskBackoff))
	case wire.ExitUnknown: // the agent finds no such job, which has not been uploaded yet
		j.DelayUntil(r.now.Add(tuning.UnknownJobBackoff))
	}
	r.releaseAttempt(r.now, a)
}
