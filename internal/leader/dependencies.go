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

// checkDependencies returns an error if a dependency of the job was never accepted, or if its state
// must be withheld because its acceptance or its cancellation is not durable yet. A job that were
// accepted on top of such a cancellation could be reported as queued for too long.
func (l *Leader) checkDependencies(spec *wire.Job) *RejectedError {
	for _, id := range spec.DependsOn {
		if _, ended := l.jobs.FinalState(id); ended {
			continue
		}
		switch j := l.jobs.Get(id); {
		case j == nil:
			return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: fmt.Sprintf("awaits %.*s, which was never accepted", wire.MaxIDLength, id)}
		case j.MustWithholdState():
			return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "awaits " + id + ", which is being accepted or cancelled"}
		}
	}
	return nil
}

// cancelDependent cancels a job that depends on a cancelled one. It queues the cancellation of the
// job's own dependents at once, without waiting until the job's cancellation is durable. This is
// safe because the cancellation of the first job in the chain is durable already: if the term ended
// now, the successor would cancel all jobs that depend on the first one directly or indirectly.
func (l *Leader) cancelDependent(now time.Time, j *jobs.Job) {
	if j.State().IsTerminal() {
		return
	}
	j.MarkDependencyCancelled()
	queue := &l.writes.Dependent
	if !j.AcceptanceDurable() {
		queue = &l.writes.Interactive // written after the acceptance; one response reports both
	}
	l.endJob(now, j, jobs.Cancelled, queue)
	l.graph.QueueDependents(j.ID, records.FinalState{Outcome: records.OutcomeCancelled})
}

// makeReadyIfUnblocked makes the tasks of an accepted job ready, unless the job is blocked. If a
// dependency was cancelled, it queues the cancellation of the job instead.
func (l *Leader) makeReadyIfUnblocked(now time.Time, j *jobs.Job) {
	switch {
	case !j.IsActive():
	case j.DependencyCancelled():
		l.graph.QueueCancellation(j)
	case !j.IsBlocked():
		l.jobs.MarkRunnable(j)
		j.RebuildReadyTasks()
		l.scaler.History.AddArrival(now, j.WaitingSince(), float64(j.Tasks)*j.CPUs*l.runTimeRatios.ExpectedRunTimeS(j))
		l.schedulingPassRequested = true
	}
}

// dependentJobDuration estimates the time from the end of a job's last dependency to the job's own
// end. It consists of the run time, the fetch of the image at the fastest rate that any machine type
// offers, and tuning.DependentStartDelay for the heartbeats, the placement and the start record.
func (l *Leader) dependentJobDuration(j *jobs.Job) time.Duration {
	fetchGBPerS := 0.0
	for _, t := range l.catalogue.OfferedTypes() {
		fetchGBPerS = max(fetchGBPerS, t.FetchGBPerS)
	}
	durationS := l.runTimeRatios.ExpectedRunTimeS(j)
	if fetchGBPerS > 0 {
		durationS += placement.FetchTimeS(j.ImageGB, fetchGBPerS)
	}
	return seconds.Duration(durationS) + tuning.DependentStartDelay
}

// processDependencyChanges handles the consequences of ended jobs: it cancels dependents of cancelled
// jobs, unblocks dependents of done jobs and updates critical paths. One call handles at most
// tuning.DependencyStepsPerTick jobs.
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

// buildDependencyGraph builds the dependency graph of the loaded jobs. It logs an error for each
// missing dependency, and for each job that has no critical path because of a dependency cycle.
func (l *Leader) buildDependencyGraph(loadedJobs []*jobs.Job) {
	missing, cyclic := l.graph.LinkAll(loadedJobs)
	for _, m := range missing {
		l.log.Error().Str("key", records.JobKey(m.Job.ID)).Str("dependency", m.Dependency).Msg("corrupt job record: a dependency has no record")
	}
	for _, j := range cyclic {
		l.log.Error().Str("key", records.JobKey(j.ID)).Msg("corrupt records: dependency cycle")
	}
}
