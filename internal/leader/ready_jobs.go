package leader

import (
	"maps"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// withAgedEntries adds a second entry for each aged job, to which it moves some of the job's ready
// tasks. A job is aged if none of its tasks has been placed for tuning.AgingThreshold. The
// placement handles the aged entries before all others. Otherwise a long backlog of smaller or more
// urgent jobs could starve a large job, because priority, urgency and size decide the order.
func (l *Leader) withAgedEntries(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	entries := ready
	for _, r := range ready {
		j := byID[r.JobID]
		if j.PlacementWait(now) < tuning.AgingThreshold || j.FailsEverywhere() {
			continue
		}
		aged := *r
		aged.AgedS = j.PlacementWait(now).Seconds()
		aged.ReadyTasks = min(r.ReadyTasks, max(1, int(float64(j.Tasks)*tuning.AgedTaskShare)))
		// The two entries share the map TasksInZone, so each takes the starts of the other into
		// account.
		r.ReadyTasks -= aged.ReadyTasks
		entries = append(entries, &aged)
	}
	return entries
}

// readyJobs returns the jobs with tasks that may be placed now, oldest first, and the same jobs by
// ID.
func (l *Leader) readyJobs(now time.Time) ([]*placement.PendingJob, map[string]*jobs.Job) {
	runnable := l.jobs.RunnableByAge()
	guaranteed := l.ledger.JobsWithinGuarantee(runnable)
	totalCPUs := 0.0
	for _, m := range l.machines.All() {
		totalCPUs += m.Capacity().CPUs
	}
	byID := map[string]*jobs.Job{}
	var ready []*placement.PendingJob
	for _, j := range runnable {
		if j.ReadyTasks() == 0 || j.IsBackingOff(now) {
			continue
		}
		r := j.PlacementConstraints()
		r.JobID, r.Team, r.PriorityRank, r.WithinGuarantee = j.ID, j.Team, j.PriorityRank(), guaranteed[j]
		r.Urgency, r.ReadyTasks = l.runTimes.Urgency(now, j, l.params.Objectives, totalCPUs), j.ReadyTasks()
		r.EstimatedRunTimeS, r.Image, r.ImageGB = l.runTimes.Estimate(j), j.Image, j.ImageGB
		if j.Failures() > 0 {
			// A job whose tasks fail starts one task at a time.
			r.ReadyTasks = 1
		}
		r.TasksByZone = maps.Clone(r.TasksByZone) // copied, as the placement adds its own starts
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}
