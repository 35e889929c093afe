package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// remainingS returns the estimated remaining run time of an attempt in seconds, at least 0.
func (l *Leader) remainingS(now time.Time, a *machines.Attempt) float64 {
	ranS := a.Job.Progress(a.Index)
	if a.HasRun() {
		ranS += a.RunTime(now).Seconds()
	}
	return max(0, l.runTimes.Estimate(a.Job)-ranS)
}

// startWithinS returns the time in seconds within which a job's tasks should start: the operators'
// setting if there is one, otherwise a share of the job's slack. The planner thus provisions
// machines for urgent jobs, while other jobs wait for existing machines.
func (l *Leader) startWithinS(now time.Time, j *jobs.Job) float64 {
	if l.operatorSettings.StartWithinS > 0 {
		return l.operatorSettings.StartWithinS
	}
	slackS, ok := l.runTimes.DeadlineSlack(now, j, l.params.Objectives)
	if !ok {
		return tuning.StartWithinDefault.Seconds()
	}
	return min(max(slackS*tuning.StartWithinSlackShare, tuning.StartWithinMin.Seconds()), tuning.StartWithinMax.Seconds())
}
