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

// checkDependencies returns an error if a dependency of the job was never accepted or its
// acceptance is not durable yet.
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

// cancelDependent cancels a job that depends on a cancelled one. The jobs that depend on it are
// cancelled without waiting for this write, because the first cancellation is already durable.
func (l *Leader) cancelDependent(now time.Time, j *jobs.Job) {
	if j.State().IsTerminal() {
		return
	}
	j.MarkDependencyCancelled()
	queue := &l.writes.Dependent
	if !j.AcceptanceDurable() {
		queue = &l.writes.Interactive // after the acceptance; its user gets one response for both
	}
	l.endJob(now, j, jobs.Cancelled, queue)
	l.graph.QueueDependents(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// makeReadyIfUnblocked makes the tasks of an accepted job ready unless the job waits for
// dependencies. It schedules the cancellation of a job whose dependency was cancelled.
func (l *Leader) makeReadyIfUnblocked(now time.Time, j *jobs.Job) {
	switch {
	case !j.IsActive():
	case j.DependencyCancelled():
		l.graph.QueueCancellation(j)
	case !j.IsBlocked():
		l.jobs.MarkRunnable(j)
		j.RebuildReadyTasks()
		l.scaler.History.AddInflow(now, j.WaitingSince(), float64(j.Tasks)*j.CPUs*l.runTimes.Estimate(j))
		l.passRequested = true
	}
}

// stageDuration estimates how long a job takes once its dependencies are done: its run time, the
// fetch of its image at the fastest rate offered and tuning.StageDelay.
func (l *Leader) stageDuration(j *jobs.Job) time.Duration {
	fetchGBPerS := 0.0
	for _, t := range l.catalogue.OfferedTypes() {
		fetchGBPerS = max(fetchGBPerS, t.FetchGBPerS)
	}
	durationS := l.runTimes.Estimate(j)
	if fetchGBPerS > 0 {
		durationS += placement.FetchTime(j.ImageGB, fetchGBPerS)
	}
	return seconds.Duration(durationS) + tuning.ChainedJobDelay
}

// processDependencyChanges carries out at most tuning.DependencyStepsPerTick of the
// cancellations, unblockings and critical path updates that final states have caused.
func (l *Leader) processDependencyChanges(now time.Time) {
	steps := tuning.DependencyStepsPerTick
	for ; steps > 0; steps-- {
		j := l.graph.PopJobToCancel()
		if j == nil {
			break
		}
		l.cancelDependent(now, j)
	}
	for ; steps > 0; steps-- {
		j := l.graph.PopJobWithDoneDependency()
		if j == nil {
			break
		}
		if !j.IsBlocked() {
			j.BeginWaiting(now)
			l.makeReadyIfUnblocked(now, j)
		}
	}
	for ; steps > 0; steps-- {
		j := l.graph.PopJobWithOutdatedPath()
		if j == nil {
			break
		}
		if l.graph.UpdateCriticalPath(j) {
			l.passRequested = true
			l.graph.QueueCriticalPathUpdates(j)
		}
	}
}

// linkLoadedJobs builds the dependency graph of the loaded jobs.
func (l *Leader) linkLoadedJobs(loaded []*jobs.Job) {
	missing, cyclic := l.graph.LinkAll(loaded)
	for _, m := range missing {
		l.log.Error().Str("key", records.JobKey(m.Job.ID)).Str("dependency", m.Dependency).Msg("corrupt record: dependency without a record")
	}
	for _, j := range cyclic {
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
