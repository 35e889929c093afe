package controller

import (
	"fmt"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Dependent jobs. What a job that needs others waits for follows from the final
// states of those, and from nothing else: a successor finds the same, and a
// leader that dies between a final state and what it means for other jobs
// leaves nothing half done. Only jobs that were accepted before can be named,
// so no job can need itself, directly or through others.

// criticalPath is what the jobs that need a job, through any number of steps, expect of
// it: the deadline of the last one of the tightest path, less the estimated time
// of what lies between.
type criticalPath struct {
	last *job // whose deadline it is; nil if there is none
	due  time.Time
	left time.Duration // what lies between
}

// checkDependencies returns an error if a job names one that was not accepted, or of
// which that is not decided.
func (c *Controller) checkDependencies(spec *wire.Job) *RejectedError {
	for _, id := range spec.Needs {
		if _, ended := c.finals[id]; ended {
			continue
		}
		switch j := c.jobs[id]; {
		case j == nil:
			return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: fmt.Sprintf("awaits %.*s, which was never accepted", wire.MaxIDLength, id)}
		case !j.stored:
			return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "awaits " + id + ", which is being accepted"}
		}
	}
	return nil
}

// linkDependencies counts what a job waits for, and notes it with the jobs it needs.
func (c *Controller) linkDependencies(j *job) {
	for _, id := range j.Needs {
		f, ended := c.finals[id]
		switch {
		case !ended:
			j.openNeeds++
			c.dependents[id] = append(c.dependents[id], j)
		case f.how == finalCancelled:
			j.needCancelled = true
		}
	}
}

// dependencyGraph knows which jobs wait for which, and what follows from the jobs that
// are over.
type dependencyGraph struct {
	// dependents are the jobs that need one that is not over, by its id.
	dependents   map[string][]*job
	unblocked    []*job // a job that they need is done
	toCancel     []*job // a job that they need was cancelled
	pathOutdated []*job // what others expect of them may have changed
}

// openSteps is the number of steps still to be taken after the ends of jobs.
func (g *dependencyGraph) openSteps() int {
	return len(g.unblocked) + len(g.toCancel) + len(g.pathOutdated)
}

// notifyDependents lets a final state take effect on the jobs that need the one that is
// over: step by step, as there may be thousands.
func (g *dependencyGraph) notifyDependents(id string, f final) {
	list := g.dependents[id]
	delete(g.dependents, id)
	if f.how == finalCancelled {
		g.toCancel = append(g.toCancel, list...)
	} else {
		g.unblocked = append(g.unblocked, list...)
	}
}

// processDependencyChanges takes some of the steps that final states ask for.
func (c *Controller) processDependencyChanges(now time.Time) {
	steps := tuning.DependencySteps
	for ; steps > 0 && len(c.toCancel) > 0; steps-- {
		j := c.toCancel[0]
		c.toCancel = c.toCancel[1:]
		c.cancelDependent(now, j)
	}
	for ; steps > 0 && len(c.unblocked) > 0; steps-- {
		j := c.unblocked[0]
		c.unblocked = c.unblocked[1:]
		if j.openNeeds--; j.openNeeds == 0 {
			j.since, j.startAt = now, now
			c.releaseIfUnblocked(now, j)
		}
	}
	for ; steps > 0 && len(c.pathOutdated) > 0; steps-- {
		j := c.pathOutdated[0]
		c.pathOutdated = c.pathOutdated[1:]
		j.pathScheduled = false
		if c.updateCriticalPath(j) {
			for _, id := range j.Needs {
				c.scheduleCriticalPath(c.jobs[id])
			}
		}
	}
}

// cancelDependent cancels a job that needs one that was cancelled; those that need it
// follow at once, as the first cancellation is durable.
func (c *Controller) cancelDependent(now time.Time, j *job) {
	if j.state == jobCancelled || j.state == jobDone {
		return
	}
	j.needCancelled = true
	queue := &c.dependentWrites
	if !j.stored {
		queue = &c.interactiveWrites // behind the acceptance; its user hears of both at once
	}
	c.end(now, j, jobCancelled, queue)
	c.notifyDependents(j.ID, final{how: finalCancelled})
}

// releaseIfUnblocked lets a job that is stored take its turn, unless it waits for others.
func (c *Controller) releaseIfUnblocked(now time.Time, j *job) {
	switch {
	case j.state != jobActive:
	case j.needCancelled:
		c.toCancel = append(c.toCancel, j)
	case j.openNeeds == 0:
		c.live[j] = struct{}{}
		j.fillReady()
		c.countInflow(now, j.since, float64(j.Tasks)*j.CPUs*c.runTimes.estimate(j))
		c.changed = true
	}
}

// standalonePath is a job's priority and path as if no other job needed it.
func (j *job) standalonePath() (int, criticalPath) {
	p := criticalPath{}
	if j.DeadlineS != nil {
		p = criticalPath{last: j, due: j.submitted.Add(seconds(*j.DeadlineS))}
	}
	return wire.Level(j.Priority), p
}

// updateCriticalPath derives what is expected of a job from the jobs that need it, and
// reports whether that has changed.
func (c *Controller) updateCriticalPath(j *job) bool {
	if j.cyclic {
		return false
	}
	level, p := j.standalonePath()
	for _, d := range c.dependents[j.ID] {
		if d.state == jobCancelled {
			continue
		}
		level = min(level, d.level)
		if d.path.last == nil {
			continue
		}
		takes := c.stageTime(d)
		if due := d.path.due.Add(-takes); p.last == nil || due.Before(p.due) {
			p = criticalPath{d.path.last, due, d.path.left + takes}
		}
	}
	changed := level != j.level || p != j.path
	j.level, j.path = level, p
	c.changed = c.changed || changed
	return changed
}

// scheduleCriticalPath notes that what others expect of a job may have changed.
func (c *Controller) scheduleCriticalPath(j *job) {
	if j != nil && !j.pathScheduled && !j.ended {
		j.pathScheduled = true
		c.pathOutdated = append(c.pathOutdated, j)
	}
}

// stageTime is the time that a job takes once the jobs that it needs are done, by
// its estimate.
func (c *Controller) stageTime(j *job) time.Duration {
	rate := 0.0
	for _, t := range c.offers {
		rate = max(rate, t.FetchGBPerS)
	}
	takes := c.runTimes.estimate(j)
	if rate > 0 {
		takes += sched.FetchTime(j.ImageGB, rate)
	}
	return seconds(takes) + tuning.StageDelay
}

// linkAllDependencies derives, from the records that were loaded, what every job waits for
// and what is expected of it: last stages first, so that each is weighed once.
func (c *Controller) linkAllDependencies(jobs []*job) {
	for _, j := range jobs {
		if !j.ended {
			c.linkDependencies(j)
		}
	}
	var last []*job
	after := map[*job]int{}
	for _, j := range jobs {
		if after[j] = len(c.dependents[j.ID]); after[j] == 0 {
			last = append(last, j)
		}
	}
	for len(last) > 0 {
		j := last[len(last)-1]
		last = last[:len(last)-1]
		delete(after, j)
		c.updateCriticalPath(j)
		for _, id := range j.Needs {
			need := c.jobs[id]
			switch {
			case j.ended:
			case need == nil:
				if _, ended := c.finals[id]; !ended {
					c.log.Error().Str("key", keyJob(j.ID)).Str("awaits", id).Msg("damaged record: waits for a job without a record")
				}
			case !need.ended:
				if after[need]--; after[need] == 0 {
					last = append(last, need)
				}
			}
		}
	}
	// What is left needs itself, or is needed by one that does: records that
	// can't be right. Those jobs wait, and can be cancelled.
	for j := range after {
		j.cyclic = true
		c.log.Error().Str("key", keyJob(j.ID)).Msg("damaged records: a circle of jobs that wait for each other, or needed by one")
	}
}
