package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// reconcileTasks compares the machine's complete task list with what is known. Only a report
// that the worker sent by itself (periodic) proves that the starts in earlier
// answers did not run: an answer to a direct call may overtake them.
func (l *Leader) reconcileTasks(now time.Time, m *machine, r *wire.Heartbeat, periodic bool) {
	l.listNumber++
	m.exited = m.exited[:0]
	for i := range r.Tasks {
		l.applyTask(now, m, &r.Tasks[i])
	}
	if periodic {
		l.countIgnoredStarts(now, m)
	}
	l.releaseUnlisted(now, m, periodic)
	if !m.reconciled {
		m.reconciled = true
		m.idleSince = now
		l.changed = true
		l.log.Debug().Str("machine", m.id).Int("tasks", len(r.Tasks)).Msg("machine reconciled")
	}
}

// applyTask applies one entry of a machine's task list.
func (l *Leader) applyTask(now time.Time, m *machine, t *wire.TaskStatus) {
	id, index, ok := wire.SplitTask(t.Task)
	j := l.jobs[id]
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// Of a job that ended, or unknown: what is not over is stopped (stopCommands).
		if t.State == wire.TaskExited {
			l.recordExited(m, t, true)
		}
	case t.State == wire.TaskExited:
		l.applyExitedTask(now, m, j, int32(index), t)
	default:
		l.applyLiveTask(now, m, j, int32(index), t)
	}
}

// recordExited keeps an exited entry, to be forgotten by the worker if nobody needs it.
func (l *Leader) recordExited(m *machine, t *wire.TaskStatus, unneeded bool) {
	key := exitKey{t.Task, t.Attempt}
	m.exited = append(m.exited, exit{key, unneeded && !m.unforgettable[key]})
}

func (l *Leader) applyExitedTask(now time.Time, m *machine, j *job, index int32, t *wire.TaskStatus) {
	a := m.find(j, index)
	switch {
	case a != nil && (a.number == t.Attempt || a.state == statePossiblyStarted):
		a.listNumber = l.listNumber
		if a.state == stateStartSent {
			m.recordStartObserved()
		}
		if a.sentDirectly {
			m.unforgettable[exitKey{t.Task, t.Attempt}] = true
		}
		l.applyExit(now, a, t)
	case t.ExitReason == wire.ExitDone:
		l.taskDone(now, j, index)
	}
	l.recordExited(m, t, t.ExitReason != wire.ExitDone || j.isDurable(index))
}

func (l *Leader) applyLiveTask(now time.Time, m *machine, j *job, index int32, t *wire.TaskStatus) {
	a := m.find(j, index)
	if a == nil {
		a = &attempt{orderedAt: now}
		l.allocate(m, j, index, a)
		// No record names it any more, or none ever did: a successor has to
		// know of it all the same.
		l.recordStart(a)
		if j.state == jobActive {
			j.removeReady(index)
		}
	}
	a.listNumber = l.listNumber
	// Another attempt of a task that is to run here makes the worker refuse
	// the newer one, so it is the listed one that counts.
	a.number = t.Attempt
	if !j.needsTask(int(index)) {
		a.stopping, a.gracePeriodS = true, 0
	}
	if a.state == stateStartSent {
		m.recordStartObserved()
	}
	l.setReportedState(now, a, t.State)
}

// setReportedState moves an attempt to the state that its machine reports.
func (l *Leader) setReportedState(now time.Time, a *attempt, reported string) {
	m, j, before := a.machine, a.job, a.state
	switch reported {
	case wire.TaskRunning:
		a.state = stateRunning
	case wire.TaskSaving:
		a.state = stateSaving
	default:
		a.state = stateFetching
	}
	if a.state != before {
		m.snapshotOutdated = true
	}
	if a.state.hasImage() && !before.hasImage() {
		j.running++
		a.runningAt = now
		if _, cached := m.images[j.Image]; cached && a.number>>32 == l.term {
			l.startDelay.observe(now.Sub(a.orderedAt).Seconds(), l.params.Workers.HeartbeatIntervalS)
		}
		m.images[j.Image] = now
		l.changed = true
		l.countRunning(a)
	}
}

// countIgnoredStarts notes that starts in an earlier answer had no effect.
func (l *Leader) countIgnoredStarts(now time.Time, m *machine) {
	if slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.listNumber != l.listNumber && a.state == stateStartSent && a.sentSequence != 0
	}) {
		m.ignoredResponses++
		m.ignoredAt = now
		m.updateDeliveryCordon()
	}
}

// releaseUnlisted gives up the attempts that the list just applied proves absent.
func (l *Leader) releaseUnlisted(now time.Time, m *machine, periodic bool) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		a := m.attempts[i]
		switch {
		case a.listNumber == l.listNumber, a.state == stateRecordPending:
		case a.state != stateStartSent:
			l.release(now, a)
		case a.sentDirectly:
			l.scheduleFencingRelease(now, a)
		case periodic || a.sentSequence == 0:
			// Not there: the start did not run and, carried only by an
			// answer now given up, never will.
			a.sentSequence = 0
			if !a.wanted() || !l.acceptsWork(now, m) {
				l.release(now, a)
			}
		}
	}
}

// scheduleFencingRelease has a machine released in time if a start that may still reach it is of
// a task that nobody wants any more.
func (l *Leader) scheduleFencingRelease(now time.Time, a *attempt) {
	m := a.machine
	if a.wanted() || !m.releaseBy.IsZero() {
		return
	}
	m.cordon(cordonLateStart)
	from := a.job.endedAt
	if from.IsZero() {
		from = now // only the task is done
	}
	m.releaseBy = from.Add(lateStartBound(l.params.Workers))
}

// applyExit handles the end of an attempt by its reason.
func (l *Leader) applyExit(now time.Time, a *attempt, t *wire.TaskStatus) {
	m, j := a.machine, a.job
	a.checkpointSaved = t.CheckpointSaved
	switch t.ExitReason {
	case wire.ExitDone:
		if a.state == stateRunning && !a.runningAt.IsZero() {
			l.runTimes.observe(j, now.Sub(a.runningAt).Seconds()+j.progress[a.index])
		}
		j.failures = 0
		l.recordTaskSuccess(j, m)
		m.images[j.Image] = now
		l.taskDone(now, j, a.index)
	case wire.ExitError:
		l.log.Debug().Str("machine", m.id).Str("task", t.Task).Msg("task failed")
		a.failed = true
		l.backOffAfterFailure(now, j)
		l.recordTaskFailure(j, m)
	case wire.ExitNoCapacity, wire.ExitTaskBusy:
		m.fullUntil = now.Add(tuning.FullMachineBackoff)
	case wire.ExitUnknown:
		l.backOff(j, now.Add(tuning.UnknownJobBackoff))
	}
	l.release(now, a)
}
