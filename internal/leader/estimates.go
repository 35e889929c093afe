package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// remaining is the run time left of an attempt by its estimate in seconds, at least zero.
func (l *Leader) remaining(now time.Time, a *machines.Attempt) float64 {
	ran := a.Job.Progress(a.Index)
	if a.HasRun() {
		ran += a.RunTime(now).Seconds()
	}
	return max(0, l.runTimes.Estimate(a.Job)-ran)
}

// startWithin is the time in seconds within which a job's tasks should start: a part of its
// slack, so that urgent work makes the planner scale out while other work waits
// for the machines that there are.
func (l *Leader) startWithin(now time.Time, j *jobs.Job) float64 {
	if l.operator.StartWithinS > 0 {
		return l.operator.StartWithinS
	}
	slack, ok := l.runTimes.DeadlineSlack(now, j, l.params.Objectives)
	if !ok {
		return tuning.StartWithinDefault.Seconds()
	}
	return min(max(slack*tuning.StartWithinSlackShare, tuning.StartWithinMin.Seconds()), tuning.StartWithinMax.Seconds())
}
