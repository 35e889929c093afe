package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// RunTimeRatios are the smoothed ratios of run times to their estimates, by class.
type RunTimeRatios map[string]float64

// Observe updates the ratio of a job's class with a task that ran for ranS seconds.
func (r RunTimeRatios) Observe(j *Job, ranS float64) {
	ratio := ranS / max(j.EstimateS, tuning.MinimumEstimateS)
	old, ok := r[j.Class]
	if !ok {
		old = 1
	}
	r[j.Class] = old + (ratio-old)*tuning.EstimateWeight
}

// Estimate returns the expected run time in seconds of a whole task.
func (r RunTimeRatios) Estimate(j *Job) float64 {
	estimate := max(j.EstimateS, tuning.MinimumEstimateS)
	if ratio, ok := r[j.Class]; ok {
		estimate *= ratio
	}
	return estimate
}

// EstimateReadyTask returns the expected run time in seconds of the ready task with the least
// progress, or of a whole task if none is ready.
func (r RunTimeRatios) EstimateReadyTask(j *Job) float64 {
	fullS := r.Estimate(j)
	if len(j.progress) == 0 || len(j.ready) == 0 || len(j.ready) > len(j.progress) {
		return fullS
	}
	leastProgressS := fullS
	for _, index := range j.ready {
		leastProgressS = min(leastProgressS, j.progress[index])
	}
	return max(tuning.MinimumEstimateS, fullS-leastProgressS)
}

// DeadlineSlack returns how many seconds the start of a job may be delayed until it misses the
// nearest due time that it can still meet. Due times follow from the deadline on its critical
// path and from the objectives. The second result is false if there is none.
func (r RunTimeRatios) DeadlineSlack(now time.Time, j *Job, objectives []config.Objective) (float64, bool) {
	remainingS := r.EstimateReadyTask(j)
	slackS, found := 0.0, false
	considerDueTime := func(since time.Time, withinS float64) {
		if s := withinS - now.Sub(since).Seconds() - remainingS; s >= 0 && (!found || s < slackS) {
			slackS, found = s, true
		}
	}
	last, downstreamS := j.criticalPath.Last, j.criticalPath.DownstreamTime.Seconds()
	if last != nil {
		considerDueTime(last.submittedAt, *last.DeadlineS-downstreamS)
	}
	for _, o := range objectives {
		switch {
		case o.Kind == "deadline" && last != nil && o.Class == last.Class:
			considerDueTime(last.submittedAt, *last.DeadlineS*max(o.Times, 1)-downstreamS)
		case o.Kind == "finished" && o.WithinS > 0 && o.Class == j.Class:
			considerDueTime(j.waitingSince, o.WithinS)
		}
	}
	return slackS, found
}

// Urgency returns a sort key for jobs of one priority, which is lowest for the most urgent job:
// its slack, plus a weighted time that the given CPUs would need for the rest of the job,
// because under a backlog more jobs meet their deadlines when small ones start first. Jobs
// without a deadline or objective that they can meet rank by their waiting time.
func (r RunTimeRatios) Urgency(now time.Time, j *Job, objectives []config.Objective, cpus float64) float64 {
	workS := float64(j.RemainingTasks()) * j.CPUs * r.Estimate(j) / max(cpus, 1)
	if slack, ok := r.DeadlineSlack(now, j, objectives); ok {
		return slack + tuning.SizeWeight*workS
	}
	return tuning.NoDeadlineSlackS - now.Sub(j.waitingSince).Seconds()
}

// StartDelay is the smoothed time in seconds between the placement of a task, on a machine that
// has its image, and the report that it runs. The task occupies its resources during that time:
// plans with run times alone expected a backlog of short tasks to end far too early.
type StartDelay float64

// maxStartDelayIntervals bounds the observed delay of one task, in heartbeat intervals.
const maxStartDelayIntervals = 2

// Observe updates the delay with a task that was placed delayS seconds before it was reported
// as running. A delay of more than two heartbeat intervals is attributed to the machine and says
// nothing about the next task, so it is capped.
func (d *StartDelay) Observe(delayS, heartbeatIntervalS float64) {
	delayS = min(delayS, maxStartDelayIntervals*heartbeatIntervalS)
	*d += StartDelay((delayS - float64(*d)) * tuning.StartDelayWeight)
}
