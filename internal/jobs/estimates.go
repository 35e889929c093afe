package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// RunTimeRatios maps each job class to the smoothed ratio of observed run times to the users'
// estimates.
type RunTimeRatios map[string]float64

// Observe updates the ratio of a job's class after a task of the job completed. ranS is
// its run time in seconds, including the progress that earlier attempts had checkpointed.
func (r RunTimeRatios) Observe(j *Job, ranS float64) {
	ratio := ranS / max(j.EstimateS, tuning.MinimumEstimateS)
	old, ok := r[j.Class]
	if !ok {
		old = 1
	}
	r[j.Class] = old + (ratio-old)*tuning.EstimateWeight
}

// Estimate returns the expected run time in seconds of a task that starts without progress: the
// user's estimate, corrected by the ratio of the job's class.
func (r RunTimeRatios) Estimate(j *Job) float64 {
	estimate := max(j.EstimateS, tuning.MinimumEstimateS)
	if ratio, ok := r[j.Class]; ok {
		estimate *= ratio
	}
	return estimate
}

// EstimateReadyTask returns the expected remaining run time in seconds of the ready task with the
// least progress, or Estimate if no task is ready.
func (r RunTimeRatios) EstimateReadyTask(j *Job) float64 {
	fullS := r.Estimate(j)
	if len(j.progress) == 0 || len(j.ready) == 0 || len(j.ready) > len(j.progress) {
		// No task is ready, or at least one ready task has no progress.
		return fullS
	}
	leastProgressS := fullS
	for _, index := range j.ready {
		leastProgressS = min(leastProgressS, j.progress[index])
	}
	return max(tuning.MinimumEstimateS, fullS-leastProgressS)
}

// DeadlineSlack returns by how many seconds the start of a job may be delayed before it misses the
// nearest due time that it can still meet. Due times follow from the deadline on the job's
// critical path and from the objectives. The second result is false if it can meet none.
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

// Urgency returns a sort key for jobs of one priority; the job with the lowest key is placed first.
// The key is the slack of the job in seconds, plus the weighted time that the cluster's CPUs, given
// as cpus, need for the rest of the job: under a backlog, more jobs meet their deadlines when
// small jobs start first. The key of a job that can meet no deadline or objective
// begins at tuning.NoDeadlineSlackS and falls while the job waits.
func (r RunTimeRatios) Urgency(now time.Time, j *Job, objectives []config.Objective, cpus float64) float64 {
	workS := float64(j.RemainingTasks()) * j.CPUs * r.Estimate(j) / max(cpus, 1)
	if slack, ok := r.DeadlineSlack(now, j, objectives); ok {
		return slack + tuning.SizeWeight*workS
	}
	return tuning.NoDeadlineSlackS - now.Sub(j.waitingSince).Seconds()
}

// StartDelay is the smoothed time in seconds from the placement of a task, on a machine that has
// its image, to the report that it runs. The task occupies its resources during that time.
// Without this delay, plans expected a backlog of short tasks to end far too early.
type StartDelay float64

// maxStartDelayIntervals is the maximum delay that counts for one task, in heartbeat intervals.
const maxStartDelayIntervals = 2

// Observe updates the delay after a task was reported as running delayS seconds after its
// placement. A delay of more than maxStartDelayIntervals is capped, because it is attributed to
// the machine and doesn't predict the delay of the next task.
func (d *StartDelay) Observe(delayS, heartbeatIntervalS float64) {
	delayS = min(delayS, maxStartDelayIntervals*heartbeatIntervalS)
	*d += StartDelay((delayS - float64(*d)) * tuning.StartDelayWeight)
}
