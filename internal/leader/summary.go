package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// Summary holds the figures of the periodic summary in the log.
type Summary struct {
	// UpMachines is the number of machines that have joined and are not being released,
	// SpotMachines the number of spot machines among them.
	Jobs, ReadyTasks, AllocatedTasks, Machines, UpMachines, SpotMachines, PendingWrites int
	// QueuedDependencyUpdates is the number of jobs that are queued to be cancelled, to be
	// unblocked or to get their critical path updated.
	QueuedDependencyUpdates int
	// ScoredPairs is the number of pairs of job and machine scored so far.
	ScoredPairs int
	// DrainExaminations is the number of machines and attempts that drains have examined so far. A
	// machine or attempt counts each time it is examined.
	DrainExaminations int
	// CPUs and UsedCPUs are the total and the allocated CPUs of the machines that are up.
	// WantedCPUs is the number of CPUs that ready tasks request.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Summary returns the figures for the current state.
func (l *Leader) Summary() Summary {
	summary := Summary{Jobs: l.jobs.Len(), Machines: l.machines.Len(), PendingWrites: l.writes.Len(), ScoredPairs: l.scoredPairs, DrainExaminations: l.drainer.ExaminedCount()}
	summary.QueuedDependencyUpdates = l.graph.QueuedJobs()
	l.jobs.Each(func(j *jobs.Job) {
		summary.ReadyTasks += j.ReadyTasks()
		summary.WantedCPUs += float64(j.ReadyTasks()) * j.CPUs
		summary.AllocatedTasks += j.AllocatedTasks()
	})
	for _, m := range l.machines.All() {
		if m.HasJoined() && !m.IsBeingReleased() {
			summary.UpMachines++
			summary.CPUs += m.Capacity().CPUs
			summary.UsedCPUs += m.Capacity().CPUs - m.Free().CPUs
			if m.Spot {
				summary.SpotMachines++
			}
		}
	}
	return summary
}
