package leader

import (
	"fmt"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
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
func (l *Leader) checkDependencies(spec *wire.Job) *RejectedError {
	for _, id := range spec.DependsOn {
		if _, ended := l.finals[id]; ended {
			continue
		}
		switch j := l.jobs[id]; {
		case j == nil:
			return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: fmt.Sprintf("awaits %.*s, which was never accepted", wire.MaxIDLength, id)}
		case !j.acceptanceDurable:
			return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "awaits " + id + ", which is being accepted"}
		}
	}
	return nil
}

// linkDependencies counts what a job waits for, and notes it with the jobs it needs.
func (l *Leader) linkDependencies(j *job) {
	for _, id := range j.DependsOn {
		f, ended := l.finals[id]
		switch {
		case !ended:
			j.openDependencies++
			l.dependents[id] = append(l.dependents[id], j)
		case f.Outcome == records.OutcomeCancelled:
			j.dependencyCancelled = true
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
func (g *dependencyGraph) notifyDependents(id string, f records.FinalState) {
	list := g.dependents[id]
	delete(g.dependents, id)
	if f.Outcome == records.OutcomeCancelled {
		g.toCancel = append(g.toCancel, list...)
	} else {
		g.unblocked = append(g.unblocked, list...)
	}
}

// processDependencyChanges takes some of the steps that final states ask for.
func (l *Leader) processDependencyChanges(now time.Time) {
	steps := tuning.DependencyStepsPerTick
	for ; steps > 0 && len(l.toCancel) > 0; steps-- {
		j := l.toCancel[0]
		l.toCancel = l.toCancel[1:]
		l.cancelDependent(now, j)
	}
	for ; steps > 0 && len(l.unblocked) > 0; steps-- {
		j := l.unblocked[0]
		l.unblocked = l.unblocked[1:]
		if j.openDependencies--; j.openDependencies == 0 {
			j.waitingSince, j.startAt = now, now
			l.releaseIfUnblocked(now, j)
		}
	}
	for ; steps > 0 && len(l.pathOutdated) > 0; steps-- {
		j := l.pathOutdated[0]
		l.pathOutdated = l.pathOutdated[1:]
		j.pathScheduled = false
		if l.updateCriticalPath(j) {
			for _, id := range j.DependsOn {
				l.scheduleCriticalPath(l.jobs[id])
			}
		}
	}
}

// cancelDependent cancels a job that needs one that was cancelled; those that need it
// follow at once, as the first cancellation is durable.
func (l *Leader) cancelDependent(now time.Time, j *job) {
	if j.state == jobCancelled || j.state == jobDone {
		return
	}
	j.dependencyCancelled = true
	queue := &l.writes.Dependent
	if !j.acceptanceDurable {
		queue = &l.writes.Interactive // behind the acceptance; its user hears of both at once
	}
	l.end(now, j, jobCancelled, queue)
	l.notifyDependents(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// releaseIfUnblocked lets a job that is stored take its turn, unless it waits for others.
func (l *Leader) releaseIfUnblocked(now time.Time, j *job) {
	switch {
	case j.state != jobActive:
	case j.dependencyCancelled:
		l.toCancel = append(l.toCancel, j)
	case j.openDependencies == 0:
		l.live[j] = struct{}{}
		j.fillReady()
		l.countInflow(now, j.waitingSince, float64(j.Tasks)*j.CPUs*l.runTimes.estimate(j))
		l.changed = true
	}
}

// standalonePath is a job's priority and path as if no other job needed it.
func (j *job) standalonePath() (int, criticalPath) {
	p := criticalPath{}
	if j.DeadlineS != nil {
		p = criticalPath{last: j, due: j.submitted.Add(seconds(*j.DeadlineS))}
	}
	return wire.PriorityRank(j.Priority), p
}

// updateCriticalPath derives what is expected of a job from the jobs that need it, and
// reports whether that has changed.
func (l *Leader) updateCriticalPath(j *job) bool {
	if j.cyclic {
		return false
	}
	level, p := j.standalonePath()
	for _, d := range l.dependents[j.ID] {
		if d.state == jobCancelled {
			continue
		}
		level = min(level, d.priorityRank)
		if d.path.last == nil {
			continue
		}
		takes := l.stageTime(d)
		if due := d.path.due.Add(-takes); p.last == nil || due.Before(p.due) {
			p = criticalPath{d.path.last, due, d.path.left + takes}
		}
	}
	changed := level != j.priorityRank || p != j.path
	j.priorityRank, j.path = level, p
	l.changed = l.changed || changed
	return changed
}

// scheduleCriticalPath notes that what others expect of a job may have changed.
func (l *Leader) scheduleCriticalPath(j *job) {
	if j != nil && !j.pathScheduled && !j.endDurable {
		j.pathScheduled = true
		l.pathOutdated = append(l.pathOutdated, j)
	}
}

// stageTime is the time that a job takes once the jobs that it needs are done, by
// its estimate.
func (l *Leader) stageTime(j *job) time.Duration {
	rate := 0.0
	for _, t := range l.offers {
		rate = max(rate, t.FetchGBPerS)
	}
	takes := l.runTimes.estimate(j)
	if rate > 0 {
		takes += placement.FetchTime(j.ImageGB, rate)
	}
	return seconds(takes) + tuning.StageDelay
}

// linkAllDependencies derives, from the records that were loaded, what every job waits for
// and what is expected of it: last stages first, so that each is weighed once.
func (l *Leader) linkAllDependencies(jobs []*job) {
	for _, j := range jobs {
		if !j.endDurable {
			l.linkDependencies(j)
		}
	}
	var last []*job
	after := map[*job]int{}
	for _, j := range jobs {
		if after[j] = len(l.dependents[j.ID]); after[j] == 0 {
			last = append(last, j)
		}
	}
	for len(last) > 0 {
		j := last[len(last)-1]
		last = last[:len(last)-1]
		delete(after, j)
		l.updateCriticalPath(j)
		for _, id := range j.DependsOn {
			need := l.jobs[id]
			switch {
			case j.endDurable:
			case need == nil:
				if _, ended := l.finals[id]; !ended {
					l.log.Error().Str("key", records.JobKey(j.ID)).Str("dependency", id).Msg("corrupt record: dependency without a record")
				}
			case !need.endDurable:
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
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
