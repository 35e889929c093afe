package leader

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// runTimes is the ratio of run times to their estimates, by class.
type runTimes map[string]float64

// observe learns from a task that has run for so many seconds.
func (r runTimes) observe(j *job, ran float64) {
	ratio := ran / max(j.EstimateS, tuning.MinimumEstimate)
	old, ok := r[j.Class]
	if !ok {
		old = 1
	}
	r[j.Class] = old + (ratio-old)*tuning.EstimateWeight
}

// estimate is a task's run time in seconds.
func (r runTimes) estimate(j *job) float64 {
	estimate := max(j.EstimateS, tuning.MinimumEstimate)
	if ratio, ok := r[j.Class]; ok {
		estimate *= ratio
	}
	return estimate
}

// startDelay is the smoothed time in seconds between placing a task on a machine that has its
// image and hearing that it runs. The task takes its place all that time: planned with its run
// time alone, a backlog of short tasks was to end far sooner than it did.
type startDelay float64

// observe learns from a task that was placed so many seconds before it was heard to run. What
// takes longer than two reports is a machine's trouble, not what the next task will take.
func (d *startDelay) observe(seconds, reportS float64) {
	seconds = min(seconds, 2*reportS)
	*d += startDelay((seconds - float64(*d)) * tuning.StartDelayWeight)
}

// urgency orders jobs of one priority: by slack, and by the time that all
// machines together would need for the rest of the job, as under a backlog
// more jobs end in time when the small ones go first. Jobs without a time to
// meet follow.
func (l *Leader) urgency(now time.Time, j *job, cpus float64) float64 {
	work := float64(j.Tasks-j.done.Len()) * j.CPUs * l.runTimes.estimate(j) / max(cpus, 1)
	if slack, ok := l.deadlineSlack(now, j); ok {
		return slack + tuning.SizeWeight*work
	}
	return tuning.NoDeadlineSlack - now.Sub(j.waitingSince).Seconds()
}

// remaining is the run time left of an attempt by its estimate, at least zero.
func (l *Leader) remaining(now time.Time, a *attempt) float64 {
	ran := a.job.progress[a.index]
	if !a.runningAt.IsZero() {
		ran += now.Sub(a.runningAt).Seconds()
	}
	return max(0, l.runTimes.estimate(a.job)-ran)
}

// startWithin is the time within which a job's tasks should begin: a part of its
// slack, so that pressing work makes the planner rent and patient work waits
// for the machines there are.
func (l *Leader) startWithin(now time.Time, j *job) float64 {
	if l.operator.HorizonS > 0 {
		return l.operator.HorizonS
	}
	slack, ok := l.deadlineSlack(now, j)
	if !ok {
		return tuning.StartWithinDefault.Seconds()
	}
	return min(max(slack*tuning.StartWithinSlackShare, tuning.StartWithinMin.Seconds()), tuning.StartWithinMax.Seconds())
}

// remainingEstimate is the run time by its estimate of a job's ready tasks, of the one with
// the least progress, or of a whole task if none is ready.
func (l *Leader) remainingEstimate(j *job) float64 {
	whole := l.runTimes.estimate(j)
	if len(j.progress) == 0 || len(j.ready) == 0 || len(j.ready) > len(j.progress) {
		return whole
	}
	least := whole
	for _, index := range j.ready {
		least = min(least, j.progress[index])
	}
	return max(tuning.MinimumEstimate, whole-least)
}

// deadlineSlack is the time that may pass before a job can no longer be in time, by
// the deadline on its path and the objectives: of those it can still meet the
// nearest. It is false if there is none.
func (l *Leader) deadlineSlack(now time.Time, j *job) (float64, bool) {
	rest := l.remainingEstimate(j)
	best, found := 0.0, false
	due := func(since time.Time, after float64) {
		if s := after - now.Sub(since).Seconds() - rest; s >= 0 && (!found || s < best) {
			best, found = s, true
		}
	}
	last, left := j.path.last, j.path.left.Seconds()
	if last != nil {
		due(last.submitted, *last.DeadlineS-left)
	}
	for _, o := range l.params.Objectives {
		switch {
		case o.Kind == "deadline" && last != nil && o.Class == last.Class:
			due(last.submitted, *last.DeadlineS*max(o.Times, 1)-left)
		case o.Kind == "finished" && o.WithinS > 0 && o.Class == j.Class:
			due(j.waitingSince, o.WithinS)
		}
	}
	return best, found
}
