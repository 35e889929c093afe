package leader

import (
	"maps"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// withAged puts some tasks of the jobs that have waited long without a start
// before all others. Priority, urgency and size decide the order, but
// a lasting backlog of smaller or more urgent work
// would otherwise keep a large job from ever starting.
func (l *Leader) withAged(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	all := ready
	for _, r := range ready {
		j := byID[r.Job]
		if j.SincePlacement(now) < tuning.AgingThreshold || j.FailsEverywhere() {
			continue
		}
		first := *r
		first.AgedS = j.SincePlacement(now).Seconds()
		first.ReadyTasks = min(r.ReadyTasks, max(1, int(float64(j.Tasks)*tuning.AgedTaskShare)))
		// Both share TasksInZone, and so see each other's starts.
		r.ReadyTasks -= first.ReadyTasks
		all = append(all, &first)
	}
	return all
}

// readyJobs lists jobs with tasks to place, oldest first.
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
		r.Job, r.Team, r.PriorityRank, r.WithinGuarantee = j.ID, j.Team, j.PriorityRank(), guaranteed[j]
		r.Urgency, r.ReadyTasks = l.runTimes.Urgency(now, j, l.params.Objectives, cpus), j.ReadyTasks()
		r.EstimateS, r.Image, r.ImageGB = l.runTimes.Estimate(j), j.Image, j.ImageGB
		if j.Failures() > 0 {
			// A job whose tasks fail tries one at a time.
			r.ReadyTasks = 1
		}
		r.TasksInZone = maps.Clone(r.TasksInZone) // a pass adds its own starts
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}
