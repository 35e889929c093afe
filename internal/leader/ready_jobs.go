package leader

import (
	"maps"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// withAgedFirst splits off some tasks of each job that has waited long without a start, to be
// placed before all others. Priority, urgency and size decide the order, so a lasting backlog of
// smaller or more urgent work could otherwise starve a large job.
func (l *Leader) withAgedFirst(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	all := ready
	for _, r := range ready {
		j := byID[r.JobID]
		if j.SincePlacement(now) < tuning.AgingThreshold || j.FailsEverywhere() {
			continue
		}
		aged := *r
		aged.AgedS = j.SincePlacement(now).Seconds()
		aged.ReadyTasks = min(r.ReadyTasks, max(1, int(float64(j.Tasks)*tuning.AgedTaskShare)))
		// Both entries share TasksInZone and so count each other's starts.
		r.ReadyTasks -= aged.ReadyTasks
		all = append(all, &aged)
	}
	return all
}

// readyJobs returns the jobs with tasks to place, oldest first, and the same jobs by ID.
func (l *Leader) readyJobs(now time.Time) ([]*placement.PendingJob, map[string]*jobs.Job) {
	active := l.jobs.RunnableByAge()
	guaranteed := l.ledger.WithinGuarantee(active)
	cpus := 0.0
	for _, m := range l.machines.All() {
		cpus += m.Capacity().CPUs
	}
	byID := map[string]*jobs.Job{}
	var ready []*placement.PendingJob
	for _, j := range active {
		if j.ReadyTasks() == 0 || j.IsBackingOff(now) {
			continue
		}
		r := j.Constraints()
		r.JobID, r.Team, r.PriorityRank, r.WithinGuarantee = j.ID, j.Team, j.PriorityRank(), guaranteed[j]
		r.Urgency, r.ReadyTasks = l.runTimes.Urgency(now, j, l.params.Objectives, cpus), j.ReadyTasks()
		r.EstimatedRunTimeS, r.Image, r.ImageGB = l.runTimes.Estimate(j), j.Image, j.ImageGB
		if j.Failures() > 0 {
			// A job whose tasks fail starts one task at a time.
			r.ReadyTasks = 1
		}
		r.TasksByZone = maps.Clone(r.TasksByZone) // a pass adds its own starts
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}
