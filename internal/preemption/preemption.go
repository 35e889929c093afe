// Package preemption chooses which running tasks to stop so that tasks of a higher priority can
// start. It reads no clock and does no I/O.
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

// Cluster gives the preemptor access to the state of the cluster.
type Cluster struct {
	Machines *machines.Registry
	// IsSchedulable reports whether new tasks may be assigned to a machine.
	IsSchedulable func(now time.Time, m *machines.Machine) bool
	// RemainingS returns the estimated remaining run time of an attempt in seconds, or 0 if the
	// attempt has exceeded its estimate.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// RunnableJobs returns the jobs that have not ended and are not blocked by dependencies.
	RunnableJobs func() iter.Seq[*jobs.Job]
	// FetchGBPerS returns the bandwidth with which machines of a type fetch images.
	FetchGBPerS func(machineType string) float64
	// TeamFreeCPUs returns how many more CPUs a team may use. It is negative if the team exceeds
	// its limit. known is false if the team is not in the settings.
	TeamFreeCPUs func(team string) (cpus float64, known bool)
	// OnStopRequested is called for each requested stop, with the attempt's machine. The stop may
	// be reverted later in the same run.
	OnStopRequested func(*machines.Machine)
}

// Preemptor periodically requests stops of running tasks, to make capacity for waiting tasks of a
// higher priority.
type Preemptor struct {
	cluster Cluster
	lastRun time.Time
}

// New returns a preemptor for a cluster.
func New(cluster Cluster) *Preemptor { return &Preemptor{cluster: cluster} }

// Run makes capacity for ready tasks that were not placed, the highest priority first: it requests
// stops of running attempts that have a lower priority and lose little progress. It does nothing if
// the last run was less than tuning.PreemptInterval ago. It returns the number of requested stops.
func (s *Preemptor) Run(now time.Time, ready []*placement.PendingJob, jobsByID map[string]*jobs.Job) int {
	if now.Sub(s.lastRun) < tuning.PreemptInterval {
		return 0
	}
	s.lastRun = now
	waiting := waitingByPriority(ready, jobsByID)
	lowestRank := lowestPreemptibleRank(s.cluster.RunnableJobs())
	if len(waiting) == 0 || waiting[0].PriorityRank >= lowestRank {
		return 0
	}
	p := newPass(now, &s.cluster)
	for _, pending := range waiting {
		if pending.PriorityRank >= lowestRank {
			break
		}
		p.makeCapacityForJob(pending, jobsByID[pending.JobID])
	}
	return p.stopCount
}

// lowestPreemptibleRank returns the rank of the lowest priority among the jobs with running tasks
// that save checkpoints. Only tasks that save checkpoints may be preempted. Ranks grow with lower
// priority, so jobs of this rank or a larger one have no tasks to preempt.
func lowestPreemptibleRank(unfinished iter.Seq[*jobs.Job]) int {
	lowest := 0
	for j := range unfinished {
		if j.RunningAttempts() > 0 && j.CheckpointIntervalS > 0 {
			lowest = max(lowest, j.PriorityRank())
		}
	}
	return lowest
}

// waitingByPriority returns the jobs with ready tasks and no failures, the highest priority first.
func waitingByPriority(ready []*placement.PendingJob, jobsByID map[string]*jobs.Job) []*placement.PendingJob {
	var waiting []*placement.PendingJob
	for _, pending := range ready {
		if j := jobsByID[pending.JobID]; j.ReadyTasks() > 0 && j.Failures() == 0 {
			waiting = append(waiting, pending)
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].PriorityRank < waiting[k].PriorityRank })
	return waiting
}

// candidate is an attempt that may be stopped.
type candidate struct {
	*machines.Attempt
	costS float64 // lost progress in seconds, plus tuning.PreemptDelayCost if the job is delayed
}
