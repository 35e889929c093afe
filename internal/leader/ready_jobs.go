package leader

import (
	"maps"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// withAgedEntries adds a second entry for each aged job and moves some of the job's ready tasks to
// it. A job is aged if at least tuning.AgingThreshold has passed since one of its tasks was last placed,
// or since the job could first be placed. The placement handles the aged entries before all others. It
// orders the others by priority, urgency and size, so a long backlog of smaller or more urgent jobs
// could starve a large job. A job whose tasks fail everywhere gets an aged entry, too: the failures may have
// been those of the machines, and its backoff allows it one start a minute at most.
func (l *Leader) withAgedEntries(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	entries := ready
	for _, r := range ready {
		j := byID[r.JobID]
		if j.PlacementWait(now) < tuning.AgingThreshold {
			continue
		}
		aged := *r
		aged.AgedS = j.PlacementWait(now).Seconds()
		aged.ReadyTasks = min(r.ReadyTasks, max(1, int(float64(j.Tasks)*tuning.AgedTaskShare)))
		// The two entries share the map TasksByZone, so the placement counts the starts of both
		// entries in it.
		r.ReadyTasks -= aged.ReadyTasks
		entries = append(entries, &aged)
	}
	return entries
}

// readyJobs returns, as input of the placement algorithm, the jobs with tasks that may be placed now. The
// job that has waited longest comes first. The map contains the same jobs by ID.
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
		r.Urgency, r.ReadyTasks = l.runTimeRatios.Urgency(now, j, l.params.Objectives, totalCPUs), j.ReadyTasks()
		r.EstimatedRunTimeS, r.Image, r.ImageGB = l.runTimeRatios.ExpectedRunTimeS(j), j.Image, j.ImageGB
		if j.Failures() > 0 {
			// A job whose tasks fail starts one task at a time.
			r.ReadyTasks = 1
		}
		r.TasksByZone = maps.Clone(r.TasksByZone) // copied, because the placement adds its starts to the map
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}
