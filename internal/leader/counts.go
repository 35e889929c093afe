package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// Counts summarizes the state for logs.
type Counts struct {
	Jobs, ReadyTasks, AllocatedTasks, Machines, UpMachines, SpotMachines, PendingWrites int
	// DependencySteps is the number of dependency updates still to be made for jobs that have
	// ended.
	DependencySteps int
	// ScoredPairs is the number of pairs of job and machine scored so far.
	ScoredPairs int
	// DrainSteps is the number of machines and attempts that drains have examined so far.
	DrainSteps int
	// CPUs and UsedCPUs are the total and the allocated CPUs of machines that are up, WantedCPUs
	// the CPUs requested by ready tasks.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Counts returns a summary of the current state.
func (l *Leader) Counts() Counts {
	n := Counts{Jobs: l.jobs.Len(), Machines: l.machines.Len(), PendingWrites: l.writes.Len(), ScoredPairs: l.scoredPairs, DrainSteps: l.drainer.ExaminedCount()}
	n.DependencySteps = l.graph.QueuedJobs()
	l.jobs.Each(func(j *jobs.Job) {
		n.ReadyTasks += j.ReadyTasks()
		n.WantedCPUs += float64(j.ReadyTasks()) * j.CPUs
		n.AllocatedTasks += j.AllocatedTasks()
	})
	for _, m := range l.machines.All() {
		if m.HasJoined() && !m.IsReleasing() {
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
