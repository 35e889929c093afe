package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// Counts sums the state up for logs.
type Counts struct {
	Jobs, ReadyTasks, AllocatedTasks, Machines, UpMachines, SpotMachines, PendingWrites int
	// DependencySteps are the steps still to be taken after the ends of jobs that others
	// depend on.
	DependencySteps int
	// ScoredPairs are the pairs of job and machine scored so far.
	ScoredPairs int
	// DrainSteps are the machines and attempts that drains have examined so far.
	DrainSteps int
	// UsedCPUs may be in use, of the CPUs of machines that are up; WantedCPUs
	// are those of ready tasks.
	CPUs, UsedCPUs, WantedCPUs float64
}

// Counts returns the sums.
func (l *Leader) Counts() Counts {
	n := Counts{Jobs: l.jobs.Len(), Machines: l.machines.Len(), PendingWrites: l.writes.Len(), ScoredPairs: l.scores, DrainSteps: l.drainer.Examined()}
	n.DependencySteps = l.graph.OpenSteps()
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
