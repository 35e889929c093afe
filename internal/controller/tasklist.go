package controller

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// applyReport compares the machine's complete task list with what is known. Only a report
// that the worker sent by itself (periodic) proves that the starts in earlier
// answers did not run: an answer to a direct call may overtake them.
func (c *Controller) applyReport(now time.Time, m *machine, r *wire.Report, periodic bool) {
	c.listNumber++
	m.exited = m.exited[:0]
	for i := range r.Tasks {
		c.applyTask(now, m, &r.Tasks[i])
	}
	if periodic {
		c.countIgnoredStarts(now, m)
	}
	c.dropUnlisted(now, m, periodic)
	if !m.confirmed {
		m.confirmed = true
		m.idleFrom = now
		c.changed = true
		c.log.Debug().Str("machine", m.id).Int("tasks", len(r.Tasks)).Msg("machine confirmed")
	}
}

// applyTask applies one entry of a machine's task list.
func (c *Controller) applyTask(now time.Time, m *machine, t *wire.TaskReport) {
	id, index, ok := wire.SplitTask(t.Task)
	j := c.jobs[id]
	switch {
	case !ok || j == nil || index >= j.Tasks:
		// Of a job that ended, or unknown: what is not over is stopped (stopCommands).
		if t.State == wire.TaskExited {
			c.noteExited(m, t, true)
		}
	case t.State == wire.TaskExited:
		c.applyExitedTask(now, m, j, int32(index), t)
	default:
		c.applyLiveTask(now, m, j, int32(index), t)
	}
}

// noteExited keeps an exited entry, to be forgotten by the worker if nobody needs it.
func (c *Controller) noteExited(m *machine, t *wire.TaskReport, unneeded bool) {
	key := exitKey{t.Task, t.Attempt}
	m.exited = append(m.exited, exit{key, unneeded && !m.unforgettable[key]})
}

func (c *Controller) applyExitedTask(now time.Time, m *machine, j *job, index int32, t *wire.TaskReport) {
	a := m.find(j, index)
	switch {
	case a != nil && (a.number == t.Attempt || a.state == possiblyStarted):
		a.listNumber = c.listNumber
		if a.state == startSent {
			m.heeded()
		}
		if a.direct {
			m.unforgettable[exitKey{t.Task, t.Attempt}] = true
		}
		c.applyExit(now, a, t)
	case t.Why == wire.WhyDone:
		c.taskDone(now, j, index)
	}
	c.noteExited(m, t, t.Why != wire.WhyDone || j.isDurable(index))
}

func (c *Controller) applyLiveTask(now time.Time, m *machine, j *job, index int32, t *wire.TaskReport) {
	a := m.find(j, index)
	if a == nil {
		a = &attempt{orderedAt: now}
		c.hold(m, j, index, a)
		// No record names it any more, or none ever did: a successor has to
		// know of it all the same.
		c.recordStart(a)
		if j.state == jobActive {
			j.removeReady(index)
		}
	}
	a.listNumber = c.listNumber
	// Another attempt of a task that is to run here makes the worker refuse
	// the newer one, so it is the listed one that counts.
	a.number = t.Attempt
	if !j.wants(int(index)) {
		a.stop, a.grace = true, 0
	}
	if a.state == startSent {
		m.heeded()
	}
	c.setReportedState(now, a, t.State)
}

// setReportedState moves an attempt to the state that its machine reports.
func (c *Controller) setReportedState(now time.Time, a *attempt, reported string) {
	m, j, before := a.machine, a.job, a.state
	switch reported {
	case wire.TaskRunning:
		a.state = running
	case wire.TaskSaving:
		a.state = saving
	default:
		a.state = fetching
	}
	if a.state != before {
		m.viewOutdated = true
	}
	if a.state.hasImage() && !before.hasImage() {
		j.running++
		a.runningAt = now
		if _, cached := m.images[j.Image]; cached && a.number>>32 == c.term {
			c.startDelay.observe(now.Sub(a.orderedAt).Seconds(), c.params.Workers.ReportS)
		}
		m.images[j.Image] = now
		c.changed = true
		c.countRunning(a)
	}
}

// countIgnoredStarts notes that starts in an earlier answer had no effect.
func (c *Controller) countIgnoredStarts(now time.Time, m *machine) {
	if slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.listNumber != c.listNumber && a.state == startSent && a.sentSeq != 0
	}) {
		m.ignoredAnswers++
		m.ignoredAt = now
		m.judgeDelivery()
	}
}

// dropUnlisted gives up the attempts that the list just applied proves absent.
func (c *Controller) dropUnlisted(now time.Time, m *machine, periodic bool) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		a := m.attempts[i]
		switch {
		case a.listNumber == c.listNumber, a.state == recordPending:
		case a.state != startSent:
			c.drop(now, a)
		case a.direct:
			c.fenceLateStart(now, a)
		case periodic || a.sentSeq == 0:
			// Not there: the start did not run and, carried only by an
			// answer now given up, never will.
			a.sentSeq = 0
			if !a.wanted() || !c.acceptsWork(now, m) {
				c.drop(now, a)
			}
		}
	}
}

// fenceLateStart has a machine released in time if a start that may still reach it is of
// a task that nobody wants any more.
func (c *Controller) fenceLateStart(now time.Time, a *attempt) {
	m := a.machine
	if a.wanted() || !m.fenceBy.IsZero() {
		return
	}
	m.cordon(awaitsLateStart)
	from := a.job.endedAt
	if from.IsZero() {
		from = now // only the task is done
	}
	m.fenceBy = from.Add(lateStartBound(c.params.Workers))
}

// applyExit handles the end of an attempt by its reason.
func (c *Controller) applyExit(now time.Time, a *attempt, t *wire.TaskReport) {
	m, j := a.machine, a.job
	a.saved = t.Saved
	switch t.Why {
	case wire.WhyDone:
		if a.state == running && !a.runningAt.IsZero() {
			c.runTimes.observe(j, now.Sub(a.runningAt).Seconds()+j.progress[a.index])
		}
		j.failures = 0
		c.recordTaskSuccess(j, m)
		m.images[j.Image] = now
		c.taskDone(now, j, a.index)
	case wire.WhyError:
		c.log.Debug().Str("machine", m.id).Str("task", t.Task).Msg("task failed")
		a.failed = true
		c.backOffAfterFailure(now, j)
		c.recordTaskFailure(j, m)
	case wire.WhyNoRoom, wire.WhyBusy:
		m.fullUntil = now.Add(tuning.FullPause)
	case wire.WhyUnknown:
		c.backOff(j, now.Add(tuning.UnknownPause))
	}
	c.drop(now, a)
}
