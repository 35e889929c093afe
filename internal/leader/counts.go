package leader

import (
	"switchshore.example/switchshore/internal/jobs"
)

// Counts sums the state up for logs.
type Counts struct {
	Jobs, Ready, Allocated, Machines, Up, Spot, Writes int
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
	n := Counts{Jobs: l.jobs.Len(), Machines: l.machines.Len(), Writes: l.writes.Len(), ScoredPairs: l.scores, DrainSteps: l.drainer.ExaminedCount()}
	n.DependencySteps = l.graph.QueuedSteps()
	l.jobs.Each(func(j *jobs.Job) {
		n.Ready += j.ReadyTasks()
		n.WantedCPUs += float64(j.ReadyTasks()) * j.CPUs
		n.Allocated += j.AllocatedTasks()
	})
	for _, m := range l.machines.All() {
		if m.HasJoined() && !m.IsReleasing() {
			n.Up++
			n.CPUs += m.Capacity().CPUs
			n.UsedCPUs += m.Capacity().CPUs - m.Free().CPUs
			if m.Spot {
				n.Spot++
			}
		}
	}
	return n
}
