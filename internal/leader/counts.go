package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// Summary summarizes the state for logs.
type Summary struct {
	Jobs, ReadyTasks, AllocatedTasks, Machines, UpMachines, SpotMachines, PendingWrites int
	// QueuedDependencyUpdates is the number of dependency updates still to be made for jobs that have
	// ended.
	QueuedDependencyUpdates int
	// ScoredPairs is the number of pairs of job and machine scored so far.
	ScoredPairs int
	// DrainExaminations is the number of machines and attempts that drains have examined so far.
	DrainExaminations int
	// CPUs and UsedCPUs are the total and the allocated CPUs of machines that are up, WantedCPUs
	// the CPUs requested by ready tasks.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Summary returns a summary of the current state.
func (l *Leader) Summary() Summary {
	n := Summary{Jobs: l.jobs.Len(), Machines: l.machines.Len(), PendingWrites: l.writes.Len(), ScoredPairs: l.scoredPairs, DrainExaminations: l.drainer.ExaminedCount()}
	n.QueuedDependencyUpdates = l.graph.QueuedSteps()
	l.jobs.Each(func(j *jobs.Job) {
		n.ReadyTasks += j.ReadyTasks()
		n.WantedCPUs += float64(j.ReadyTasks()) * j.CPUs
		n.AllocatedTasks += j.AllocatedTasks()
	})
	for _, m := range l.machines.All() {
		if m.HasJoined() && !m.IsBeingReleased() {
			n.UpMachines++
			n.CPUs += m.Capacity().CPUs
			n.UsedCPUs += m.Capacity().CPUs - m.Free().CPUs
			if m.Spot {
				n.SpotMachines++
			}
		}
	}
	return n
}
