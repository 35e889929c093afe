package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// RunTimes is the ratio of run times to their estimates, by class.
type RunTimes map[string]float64

// Observe learns from a task that has run for so many seconds.
func (r RunTimes) Observe(j *Job, ran float64) {
	ratio := ran / max(j.EstimateS, tuning.MinimumEstimateS)
	old, ok := r[j.Class]
	if !ok {
		old = 1
	}
	r[j.Class] = old + (ratio-old)*tuning.EstimateWeight
}

// Estimate is a task's run time in seconds.
func (r RunTimes) Estimate(j *Job) float64 {
	estimate := max(j.EstimateS, tuning.MinimumEstimateS)
	if ratio, ok := r[j.Class]; ok {
		estimate *= ratio
	}
	return estimate
}

// StartDelay is the smoothed time in seconds between placing a task on a machine that has its
// image and hearing that it runs. The task takes its place all that time: planned with its run
// time alone, a backlog of short tasks was to end far sooner than it did.
type StartDelay float64

// Observe learns from a task that was placed so many seconds before it was heard to run. What
// takes longer than two reports is a machine's trouble, not what the next task will take.
func (d *StartDelay) Observe(seconds, reportS float64) {
	seconds = min(seconds, 2*reportS)
	*d += StartDelay((seconds - float64(*d)) * tuning.StartDelayWeight)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
