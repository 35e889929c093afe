package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// RunTimeRatios is the ratio of run times to their estimates, by class.
type RunTimeRatios map[string]float64

// Observe learns from a task that has run for so many seconds.
func (r RunTimeRatios) Observe(j *Job, ranS float64) {
	ratio := ranS / max(j.EstimateS, tuning.MinimumEstimateS)
	old, ok := r[j.Class]
	if !ok {
		old = 1
	}
	r[j.Class] = old + (ratio-old)*tuning.EstimateWeight
}

// Estimate is a task's run time in seconds.
func (r RunTimeRatios) Estimate(j *Job) float64 {
	estimate := max(j.EstimateS, tuning.MinimumEstimateS)
	if ratio, ok := r[j.Class]; ok {
		estimate *= ratio
	}
	return estimate
}

// EstimateReady is the run time in seconds of a job's ready tasks, of the one with the least
// progress, or of a whole task if none is ready.
func (r RunTimeRatios) EstimateReady(j *Job) float64 {
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

// DeadlineSlack is the time in seconds that may pass before a job can no longer be in time, by
// the deadline on its critical path and the objectives: of those it can still meet the
// nearest. It is false if there is none.
func (r RunTimeRatios) DeadlineSlack(now time.Time, j *Job, objectives []config.Objective) (float64, bool) {
	remainingS := r.EstimateReady(j)
	slackS, found := 0.0, false
	considerDueTime := func(since time.Time, after float64) {
		if s := after - now.Sub(since).Seconds() - remainingS; s >= 0 && (!found || s < slackS) {
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

// Urgency orders jobs of one priority, the most urgent having the least: by slack, and by the
// time that the given CPUs would take for the rest of the job, as under a backlog
// more jobs meet their deadlines when small ones start first. Jobs without a deadline or an
// objective follow, in the order of their waits.
func (r RunTimeRatios) Urgency(now time.Time, j *Job, objectives []config.Objective, cpus float64) float64 {
	work := float64(j.RemainingTasks()) * j.CPUs * r.Estimate(j) / max(cpus, 1)
	if slack, ok := r.DeadlineSlack(now, j, objectives); ok {
		return slack + tuning.SizeWeight*work
	}
	return tuning.NoDeadlineSlackS - now.Sub(j.waitingSince).Seconds()
}

// StartDelay is the smoothed time in seconds between placing a task on a machine that has its
// image and learning that it runs. The task takes its place all that time: planned with its run
// time alone, a backlog of short tasks was to end far sooner than it did.
type StartDelay float64

// maxStartDelayIntervals bounds what is learned from one task, in heartbeat intervals.
const maxStartDelayIntervals = 2

// Observe learns from a task that was placed so many seconds before it was reported as running.
// What takes longer than two heartbeats is a machine's trouble, not what the next task will take.
func (d *StartDelay) Observe(delayS, heartbeatIntervalS float64) {
	delayS = min(delayS, maxStartDelayIntervals*heartbeatIntervalS)
	*d += StartDelay((delayS - float64(*d)) * tuning.StartDelayWeight)
}
