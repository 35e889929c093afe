package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// urgency orders jobs of one priority: by slack, and by the time that all
// machines together would need for the rest of the job, as under a backlog
// more jobs end in time when the small ones go first. Jobs without a time to
// meet follow.
func (l *Leader) urgency(now time.Time, j *jobs.Job, cpus float64) float64 {
	work := float64(j.Tasks-j.Completed.Len()) * j.CPUs * l.runTimes.Estimate(j) / max(cpus, 1)
	if slack, ok := l.deadlineSlack(now, j); ok {
		return slack + tuning.SizeWeight*work
	}
	return tuning.NoDeadlineSlackS - now.Sub(j.WaitingSince).Seconds()
}

// remaining is the run time left of an attempt by its estimate, at least zero.
func (l *Leader) remaining(now time.Time, a *machines.Attempt) float64 {
	ran := a.Job.Progress[a.Index]
	if !a.RunningAt.IsZero() {
		ran += now.Sub(a.RunningAt).Seconds()
	}
	return max(0, l.runTimes.Estimate(a.Job)-ran)
}

// startWithin is the time within which a job's tasks should begin: a part of its
// slack, so that pressing work makes the planner rent and patient work waits
// for the machines there are.
func (l *Leader) startWithin(now time.Time, j *jobs.Job) float64 {
	if l.operator.StartWithinS > 0 {
		return l.operator.StartWithinS
	}
	slack, ok := l.deadlineSlack(now, j)
	if !ok {
		return tuning.StartWithinDefault.Seconds()
	}
	return min(max(slack*tuning.StartWithinSlackShare, tuning.StartWithinMin.Seconds()), tuning.StartWithinMax.Seconds())
}

// remainingEstimate is the run time by its estimate of a job's ready tasks, of the one with
// the least progress, or of a whole task if none is ready.
func (l *Leader) remainingEstimate(j *jobs.Job) float64 {
	whole := l.runTimes.Estimate(j)
	if len(j.Progress) == 0 || len(j.Ready) == 0 || len(j.Ready) > len(j.Progress) {
		return whole
	}
	least := whole
	for _, index := range j.Ready {
		least = min(least, j.Progress[index])
	}
	return max(tuning.MinimumEstimateS, whole-least)
}

// deadlineSlack is the time that may pass before a job can no longer be in time, by
// the deadline on its path and the objectives: of those it can still meet the
// nearest. It is false if there is none.
func (l *Leader) deadlineSlack(now time.Time, j *jobs.Job) (float64, bool) {
	rest := l.remainingEstimate(j)
	best, found := 0.0, false
	due := func(since time.Time, after float64) {
		if s := after - now.Sub(since).Seconds() - rest; s >= 0 && (!found || s < best) {
			best, found = s, true
		}
	}
	last, left := j.Path.Last, j.Path.Left.Seconds()
	if last != nil {
		due(last.Submitted, *last.DeadlineS-left)
	}
	for _, o := range l.params.Objectives {
		switch {
		case o.Kind == "deadline" && last != nil && o.Class == last.Class:
			due(last.Submitted, *last.DeadlineS*max(o.Times, 1)-left)
		case o.Kind == "finished" && o.WithinS > 0 && o.Class == j.Class:
			due(j.WaitingSince, o.WithinS)
		}
	}
	return best, found
}
