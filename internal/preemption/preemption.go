// Package preemption chooses running tasks to be stopped so that tasks of a higher priority
// can start. It reads no clock and does no I/O.
package preemption

import (
	"iter"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// Cluster is what preemption has to know of the cluster, and the one thing that it does to it.
type Cluster struct {
	Machines *machines.Registry
	// IsSchedulable reports whether a machine takes new tasks.
	IsSchedulable func(now time.Time, m *machines.Machine) bool
	// RemainingS estimates the rest of an attempt's run time in seconds, 0 if it is over its
	// estimate.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// UnfinishedJobs returns the jobs whose tasks may run.
	UnfinishedJobs func() iter.Seq[*jobs.Job]
	// FetchGBPerS is the rate at which machines of a type fetch images.
	FetchGBPerS func(machineType string) float64
	// TeamFreeCPUs are the CPUs that a team may use beyond those that it uses; known is false
	// for teams that are not in the settings.
	TeamFreeCPUs func(team string) (cpus float64, known bool)
	// OnStop is called with each machine on which an attempt is to be stopped.
	OnStop func(*machines.Machine)
}

// Preemptor makes capacity now and then.
type Preemptor struct {
	cluster Cluster
	lastRun time.Time
}

// New returns a preemptor for a cluster.
func New(cluster Cluster) *Preemptor { return &Preemptor{cluster: cluster} }

// Run makes capacity for those of the ready jobs with tasks that were not placed, highest
// priority first: it marks attempts of a lower priority that lose little by it as to be
// stopped. It does so at most once per tuning.PreemptInterval, and returns the number of
// attempts to be stopped.
func (s *Preemptor) Run(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) int {
	if now.Sub(s.lastRun) < tuning.PreemptInterval {
		return 0
	}
	s.lastRun = now
	waiting := waitingByPriority(ready, byID)
	lowest := lowestPriority(s.cluster.UnfinishedJobs())
	if len(waiting) == 0 || waiting[0].PriorityRank >= lowest {
		return 0
	}
	p := newPass(now, &s.cluster)
	for _, r := range waiting {
		if r.PriorityRank >= lowest {
			break
		}
		p.makeCapacityForJob(r, byID[r.Job])
	}
	return p.stops
}

// lowestPriority is the rank of the lowest priority among the running jobs that save
// checkpoints; only these can be stopped.
func lowestPriority(unfinished iter.Seq[*jobs.Job]) int {
	lowest := 0
	for j := range unfinished {
		if j.RunningTasks() > 0 && j.CheckpointIntervalS > 0 {
			lowest = max(lowest, j.PriorityRank())
		}
	}
	return lowest
}

// waitingByPriority returns the jobs with tasks that found no capacity, highest priority first.
func waitingByPriority(ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	var waiting []*placement.PendingJob
	for _, r := range ready {
		if j := byID[r.Job]; j.ReadyTasks() > 0 && j.Failures() == 0 {
			waiting = append(waiting, r)
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].PriorityRank < waiting[k].PriorityRank })
	return waiting
}

// candidate is an attempt that could be stopped.
type candidate struct {
	*machines.Attempt
	lostS float64 // progress lost, and what its job loses by the wait
}
