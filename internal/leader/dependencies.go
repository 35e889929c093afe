package leader

import (
	"fmt"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// checkDependencies returns an error if a job names one that was not accepted, or of
// which that is not decided.
func (l *Leader) checkDependencies(spec *wire.Job) *RejectedError {
	for _, id := range spec.DependsOn {
		if _, ended := l.jobs.FinalState(id); ended {
			continue
		}
		switch j := l.jobs.Get(id); {
		case j == nil:
			return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: fmt.Sprintf("awaits %.*s, which was never accepted", wire.MaxIDLength, id)}
		case !j.AcceptanceDurable():
			return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "awaits " + id + ", which is being accepted"}
		}
	}
	return nil
}

// cancelDependent cancels a job that depends on one that was cancelled; those that depend on it
// follow at once, as the first cancellation is durable.
func (l *Leader) cancelDependent(now time.Time, j *jobs.Job) {
	if j.State().IsTerminal() {
		return
	}
	j.MarkDependencyCancelled()
	queue := &l.writes.Dependent
	if !j.AcceptanceDurable() {
		queue = &l.writes.Interactive // behind the acceptance; its user gets one response to both
	}
	l.end(now, j, jobs.Cancelled, queue)
	l.graph.JobEnded(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// releaseIfUnblocked makes the tasks of an accepted job ready, unless it waits for others.
func (l *Leader) releaseIfUnblocked(now time.Time, j *jobs.Job) {
	switch {
	case !j.IsActive():
	case j.DependencyCancelled():
		l.graph.QueueCancellation(j)
	case !j.IsBlocked():
		l.jobs.MarkRunnable(j)
		j.RebuildReadyTasks()
		l.scaler.History.AddInflow(now, j.WaitingSince(), float64(j.Tasks)*j.CPUs*l.runTimes.Estimate(j))
		l.changed = true
	}
}

// stageTime is the time that a job takes once the jobs that it depends on are done, by
// its estimate.
func (l *Leader) stageTime(j *jobs.Job) time.Duration {
	rate := 0.0
	for _, t := range l.catalogue.OfferedTypes() {
		rate = max(rate, t.FetchGBPerS)
	}
	takes := l.runTimes.Estimate(j)
	if rate > 0 {
		takes += placement.FetchTime(j.ImageGB, rate)
	}
	return seconds.Duration(takes) + tuning.StageDelay
}

// processDependencyChanges takes some of the steps that final states ask for.
func (l *Leader) processDependencyChanges(now time.Time) {
	steps := tuning.DependencyStepsPerTick
	for ; steps > 0; steps-- {
		j := l.graph.NextCancellation()
		if j == nil {
			break
		}
		l.cancelDependent(now, j)
	}
	for ; steps > 0; steps-- {
		j := l.graph.NextUnblocked()
		if j == nil {
			break
		}
		if !j.IsBlocked() {
			j.BeginWaiting(now)
			l.releaseIfUnblocked(now, j)
		}
	}
	for ; steps > 0; steps-- {
		j := l.graph.NextOutdatedPath()
		if j == nil {
			break
		}
		if l.graph.UpdateCriticalPath(j) {
			l.changed = true
			l.graph.QueuePathUpdates(j)
		}
	}
}

// linkLoadedJobs derives from the records that were loaded what every job waits for.
func (l *Leader) linkLoadedJobs(loaded []*jobs.Job) {
	missing, cyclic := l.graph.LinkAll(loaded)
	for _, m := range missing {
		l.log.Error().Str("key", records.JobKey(m.Job.ID)).Str("dependency", m.Dependency).Msg("corrupt record: dependency without a record")
	}
	for _, j := range cyclic {
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
