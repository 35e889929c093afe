package leader

import (
	"fmt"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
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
		case !j.AcceptanceDurable:
			return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "awaits " + id + ", which is being accepted"}
		}
	}
	return nil
}

// linkDependencies counts what a job waits for, and notes it with the jobs it needs.
func (l *Leader) linkDependencies(j *jobs.Job) {
	for _, id := range j.DependsOn {
		f, ended := l.finals[id]
		switch {
		case !ended:
			j.OpenDependencies++
			l.graph.Dependents[id] = append(l.graph.Dependents[id], j)
		case f.Outcome == records.OutcomeCancelled:
			j.DependencyCancelled = true
		}
	}
}

// processDependencyChanges takes some of the steps that final states ask for.
func (l *Leader) processDependencyChanges(now time.Time) {
	steps := tuning.DependencyStepsPerTick
	for ; steps > 0 && len(l.graph.ToCancel) > 0; steps-- {
		j := l.graph.ToCancel[0]
		l.graph.ToCancel = l.graph.ToCancel[1:]
		l.cancelDependent(now, j)
	}
	for ; steps > 0 && len(l.graph.Unblocked) > 0; steps-- {
		j := l.graph.Unblocked[0]
		l.graph.Unblocked = l.graph.Unblocked[1:]
		if j.OpenDependencies--; j.OpenDependencies == 0 {
			j.WaitingSince, j.LastPlacedAt = now, now
			l.releaseIfUnblocked(now, j)
		}
	}
	for ; steps > 0 && len(l.graph.PathOutdated) > 0; steps-- {
		j := l.graph.PathOutdated[0]
		l.graph.PathOutdated = l.graph.PathOutdated[1:]
		j.PathScheduled = false
		if l.updateCriticalPath(j) {
			for _, id := range j.DependsOn {
				l.scheduleCriticalPath(l.jobs[id])
			}
		}
	}
}

// cancelDependent cancels a job that needs one that was cancelled; those that need it
// follow at once, as the first cancellation is durable.
func (l *Leader) cancelDependent(now time.Time, j *jobs.Job) {
	if j.State == jobs.Cancelled || j.State == jobs.Done {
		return
	}
	j.DependencyCancelled = true
	queue := &l.writes.Dependent
	if !j.AcceptanceDurable {
		queue = &l.writes.Interactive // behind the acceptance; its user hears of both at once
	}
	l.end(now, j, jobs.Cancelled, queue)
	l.graph.NotifyDependents(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// releaseIfUnblocked lets a job that is stored take its turn, unless it waits for others.
func (l *Leader) releaseIfUnblocked(now time.Time, j *jobs.Job) {
	switch {
	case j.State != jobs.Active:
	case j.DependencyCancelled:
		l.graph.ToCancel = append(l.graph.ToCancel, j)
	case j.OpenDependencies == 0:
		l.live[j] = struct{}{}
		j.FillReady()
		l.scaler.History.CountInflow(now, j.WaitingSince, float64(j.Tasks)*j.CPUs*l.runTimes.Estimate(j))
		l.changed = true
	}
}

// updateCriticalPath derives what is expected of a job from the jobs that need it, and
// reports whether that has changed.
func (l *Leader) updateCriticalPath(j *jobs.Job) bool {
	if j.Cyclic {
		return false
	}
	level, p := j.StandalonePath()
	for _, d := range l.graph.Dependents[j.ID] {
		if d.State == jobs.Cancelled {
			continue
		}
		level = min(level, d.PriorityRank)
		if d.Path.Last == nil {
			continue
		}
		takes := l.stageTime(d)
		if due := d.Path.Due.Add(-takes); p.Last == nil || due.Before(p.Due) {
			p = jobs.CriticalPath{Last: d.Path.Last, Due: due, Left: d.Path.Left + takes}
		}
	}
	changed := level != j.PriorityRank || p != j.Path
	j.PriorityRank, j.Path = level, p
	l.changed = l.changed || changed
	return changed
}

// scheduleCriticalPath notes that what others expect of a job may have changed.
func (l *Leader) scheduleCriticalPath(j *jobs.Job) {
	if j != nil && !j.PathScheduled && !j.EndDurable {
		j.PathScheduled = true
		l.graph.PathOutdated = append(l.graph.PathOutdated, j)
	}
}

// stageTime is the time that a job takes once the jobs that it needs are done, by
// its estimate.
func (l *Leader) stageTime(j *jobs.Job) time.Duration {
	rate := 0.0
	for _, t := range l.catalogue.Offers() {
		rate = max(rate, t.FetchGBPerS)
	}
	takes := l.runTimes.Estimate(j)
	if rate > 0 {
		takes += placement.FetchTime(j.ImageGB, rate)
	}
	return seconds(takes) + tuning.StageDelay
}

// linkAllDependencies derives, from the records that were loaded, what every job waits for
// and what is expected of it: last stages first, so that each is weighed once.
func (l *Leader) linkAllDependencies(all []*jobs.Job) {
	for _, j := range all {
		if !j.EndDurable {
			l.linkDependencies(j)
		}
	}
	var last []*jobs.Job
	after := map[*jobs.Job]int{}
	for _, j := range all {
		if after[j] = len(l.graph.Dependents[j.ID]); after[j] == 0 {
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
			case j.EndDurable:
			case need == nil:
				if _, ended := l.finals[id]; !ended {
					l.log.Error().Str("key", records.JobKey(j.ID)).Str("dependency", id).Msg("corrupt record: dependency without a record")
				}
			case !need.EndDurable:
				if after[need]--; after[need] == 0 {
					last = append(last, need)
				}
			}
		}
	}
	// What is left needs itself, or is needed by one that does: records that
	// can't be right. Those jobs wait, and can be cancelled.
	for j := range after {
		j.Cyclic = true
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
