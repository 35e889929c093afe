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

// cancelDependent cancels a job that depends on a cancelled one. It queues the cancellation of the
// job's own dependents at once, without waiting until this write is durable: the cancellation of
// the first job in the chain is durable already, and a successor would derive all others from it.
func (l *Leader) cancelDependent(now time.Time, j *jobs.Job) {
	if j.State().IsTerminal() {
		return
	}
	j.MarkDependencyCancelled()
	queue := &l.writes.Dependent
	if !j.AcceptanceDurable() {
		queue = &l.writes.Interactive // written after the acceptance, with one response for both
	}
	l.endJob(now, j, jobs.Cancelled, queue)
	l.graph.QueueDependents(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// makeReadyIfUnblocked makes the tasks of an accepted job ready unless the job waits for
// dependencies. If a dependency was cancelled, it queues the cancellation of the job.
func (l *Leader) makeReadyIfUnblocked(now time.Time, j *jobs.Job) {
	switch {
	case !j.IsActive():
	case j.DependencyCancelled():
		l.graph.QueueCancellation(j)
	case !j.IsBlocked():
		l.jobs.MarkRunnable(j)
		j.RebuildReadyTasks()
		l.scaler.History.AddArrival(now, j.WaitingSince(), float64(j.Tasks)*j.CPUs*l.runTimes.Estimate(j))
		l.schedulingPassRequested = true
	}
}

// chainedJobDuration estimates the time from the end of a job's last dependency to the job's own
// end. It consists of the run time, the fetch of the image at the fastest rate offered, and
// tuning.ChainedJobDelay for heartbeats, the start record and the placement in between.
func (l *Leader) chainedJobDuration(j *jobs.Job) time.Duration {
	fetchGBPerS := 0.0
	for _, t := range l.catalogue.OfferedTypes() {
		fetchGBPerS = max(fetchGBPerS, t.FetchGBPerS)
	}
	durationS := l.runTimes.Estimate(j)
	if fetchGBPerS > 0 {
		durationS += placement.FetchTimeS(j.ImageGB, fetchGBPerS)
	}
	return seconds.Duration(durationS) + tuning.ChainedJobDelay
}

// processDependencyChanges handles the consequences of ended jobs: it cancels dependents, unblocks
// dependents and updates critical paths, for at most tuning.DependencyStepsPerTick jobs per call.
func (l *Leader) processDependencyChanges(now time.Time) {
	stepsLeft := tuning.DependencyStepsPerTick
	for ; stepsLeft > 0; stepsLeft-- {
		j := l.graph.PopJobToCancel()
		if j == nil {
			break
		}
		l.cancelDependent(now, j)
	}
	for ; stepsLeft > 0; stepsLeft-- {
		j := l.graph.PopJobWithDoneDependency()
		if j == nil {
			break
		}
		if !j.IsBlocked() {
			j.BeginWaiting(now)
			l.makeReadyIfUnblocked(now, j)
		}
	}
	for ; stepsLeft > 0; stepsLeft-- {
		j := l.graph.PopJobWithOutdatedPath()
		if j == nil {
			break
		}
		if l.graph.UpdateCriticalPath(j) {
			l.schedulingPassRequested = true
			l.graph.QueueCriticalPathUpdates(j)
		}
	}
}

// linkLoadedJobs builds the dependency graph of the loaded jobs.
func (l *Leader) linkLoadedJobs(loadedJobs []*jobs.Job) {
	missing, cyclic := l.graph.LinkAll(loadedJobs)
	for _, m := range missing {
		l.log.Error().Str("key", records.JobKey(m.Job.ID)).Str("dependency", m.Dependency).Msg("corrupt job record: a dependency has no record")
	}
	for _, j := range cyclic {
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
