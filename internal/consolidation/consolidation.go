// Package consolidation moves tasks off underused machines, so that the machines can be released.
// Otherwise, when demand falls, every machine would be kept until its longest task ends, although
// most of its capacity is idle. Only tasks that save checkpoints are moved, as only these keep their
// progress. The package reads no clock and does no I/O.
package consolidation

import (
	"cmp"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// Cluster gives the consolidator access to the state of the cluster.
type Cluster struct {
	Machines *machines.Registry
	// IsSchedulable reports whether new tasks may be assigned to a machine.
	IsSchedulable func(now time.Time, m *machines.Machine) bool
	// RunnableJobs returns the jobs that have not ended and are not blocked by dependencies, the
	// longest waiting one first.
	RunnableJobs func() []*jobs.Job
	// Price returns the current price of a machine.
	Price func(*machines.Machine) float64
	// RemainingS returns the estimated remaining run time of an attempt in seconds, or 0 if the
	// attempt has exceeded its estimate.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// OnStopsRequested is called for each machine that is cordoned, after the stops of its attempts
	// were requested.
	OnStopsRequested func(*machines.Machine)
}

// Consolidator periodically moves tasks off underused machines.
type Consolidator struct {
	cluster Cluster
	lastRun time.Time
}

// New returns a consolidator for a cluster.
func New(cluster Cluster) *Consolidator { return &Consolidator{cluster: cluster} }

// Run cordons machines whose tasks fit on others, and requests graceful stops of their attempts, so
// that these save checkpoints first. Later placement passes start the tasks again on other machines.
// Run does nothing if the last run was less than tuning.ConsolidateInterval ago. It returns the number
// of machines that it has cordoned.
func (c *Consolidator) Run(now time.Time) int {
	if now.Sub(c.lastRun) < tuning.ConsolidateInterval {
		return 0
	}
	c.lastRun = now
	p := &pass{Cluster: &c.cluster, now: now}
	p.classifyMachines()
	if len(p.movable) < 2 {
		return 0
	}
	return p.consolidate()
}

// pass holds the state of one run of the consolidator.
type pass struct {
	*Cluster
	now time.Time
	// movable contains the schedulable machines whose tasks may be moved, targetsOnly the other
	// schedulable ones. Tasks may be moved to machines of both lists.
	movable, targetsOnly []*machines.Machine
	// unallocated contains, for each machine, the free capacity that this pass has not allocated
	// to waiting or moved tasks.
	unallocated map[*machines.Machine]placement.Resources
	// addedTasks contains, for each machine, the number of waiting and moved tasks to which this pass has
	// allocated its capacity.
	addedTasks map[*machines.Machine]int
}

// classifyMachines divides the schedulable machines into movable and targetsOnly.
func (p *pass) classifyMachines() {
	for _, m := range p.Machines.All() {
		switch {
		case !p.IsSchedulable(p.now, m):
		case p.isMovable(m):
			p.movable = append(p.movable, m)
		default:
			p.targetsOnly = append(p.targetsOnly, m)
		}
	}
}

// consolidate cordons machines whose tasks fit on others, and requests stops of the tasks. It tries
// the most expensive machines first, and among equally expensive ones those with the largest share of
// free CPUs. It returns the number of cordoned machines. This number is limited, because the other
// machines have to load the images and checkpoints of the moved tasks.
func (p *pass) consolidate() int {
	slices.SortStableFunc(p.movable, func(a, b *machines.Machine) int {
		return cmp.Or(-cmp.Compare(p.Price(a), p.Price(b)), -cmp.Compare(a.Free().CPUs/a.Capacity().CPUs, b.Free().CPUs/b.Capacity().CPUs))
	})
	targets := slices.Concat(p.movable, p.targetsOnly)
	p.unallocated = map[*machines.Machine]placement.Resources{}
	p.addedTasks = map[*machines.Machine]int{}
	for _, m := range targets {
		p.unallocated[m] = m.Free()
	}
	p.allocateForWaiting(targets)
	consolidated := 0
	for i, m := range p.movable {
		if consolidated >= max(1, p.Machines.Len()/tuning.ConsolidateDivisor) {
			break
		}
		if p.unallocated[m] != m.Free() {
			continue // the pass has allocated capacity of this machine to waiting or moved tasks
		}
		if p.allocateElsewhere(m, slices.Concat(p.targetsOnly, p.movable[i+1:])) {
			consolidated++
			p.cordonAndStop(m)
		}
	}
	return consolidated
}

// allocateForWaiting allocates capacity to waiting tasks, so that moved tasks don't use the capacity
// that waiting tasks need.
func (p *pass) allocateForWaiting(targets []*machines.Machine) {
	for _, j := range p.RunnableJobs() {
		// Unallocated capacity only decreases here, so a machine without capacity for one task of
		// the job has none for the job's next task either and isn't tried again.
		remainingTargets := targets
		for range j.ReadyTasks() {
			i := p.firstFit(j, remainingTargets)
			if i < 0 {
				break
			}
			remainingTargets = remainingTargets[i:]
			p.allocate(remainingTargets[0], j, 1)
		}
	}
}

// allocateElsewhere allocates capacity on the targets for all tasks of a machine. It tries the targets
// with the fewest unallocated CPUs first. If a task fits on no target, it allocates nothing and returns
// false.
func (p *pass) allocateElsewhere(m *machines.Machine, targets []*machines.Machine) bool {
	slices.SortStableFunc(targets, func(a, b *machines.Machine) int { return cmp.Compare(p.unallocated[a].CPUs, p.unallocated[b].CPUs) })
	allocated := make([]*machines.Machine, 0, len(m.Attempts()))
	for _, a := range m.Attempts() {
		i := p.firstFit(a.Job, targets)
		if i < 0 {
			for k, t := range allocated {
				p.allocate(t, m.Attempts()[k].Job, -1)
			}
			return false
		}
		p.allocate(targets[i], a.Job, 1)
		allocated = append(allocated, targets[i])
	}
	return true
}

// allocate allocates capacity on the machine for a number of tasks of the job. A negative number frees it.
func (p *pass) allocate(m *machines.Machine, j *jobs.Job, tasks int) {
	p.unallocated[m] = p.unallocated[m].Add(j.Request(), -float64(tasks))
	p.addedTasks[m] += tasks
}

// cordonAndStop cordons a machine and requests graceful stops of its attempts.
func (p *pass) cordonAndStop(m *machines.Machine) {
	m.Cordon(machines.CordonConsolidated)
	for _, a := range m.Attempts() {
		a.RequestGracefulStop()
	}
	p.OnStopsRequested(m)
}

// isMovable reports whether all tasks of the machine may be moved, and moving them saves enough
// machine time:
//   - the machine has tasks, and at most half of its CPUs are in use
//   - its minimum billing time is over
//   - each task saves checkpoints and has run for tuning.ConsolidateMinRunTime
//   - the longest task is expected to run for at least another tuning.ConsolidateMinLifetime
func (p *pass) isMovable(m *machines.Machine) bool {
	if len(m.Attempts()) == 0 || m.Free().CPUs < m.Capacity().CPUs/2 || p.now.Sub(m.ProvisionedAt()) < tuning.MinimumBillingTime {
		return false
	}
	remainingS := 0.0
	for _, a := range m.Attempts() {
		if a.State() != machines.Running || a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.RunTime(p.now) < tuning.ConsolidateMinRunTime {
			return false
		}
		// A task that has exceeded its estimate may be expected to run for as long again as it
		// has run so far. The pass assumes a quarter of that.
		remainingS = max(remainingS, p.RemainingS(p.now, a), a.RunTime(p.now).Seconds()/4)
	}
	return remainingS >= tuning.ConsolidateMinLifetime.Seconds()
}

// firstFit returns the index of the first target that has unallocated capacity for a task of the job
// and on which the task may run, or -1.
func (p *pass) firstFit(j *jobs.Job, targets []*machines.Machine) int {
	constraints := j.PlacementConstraints()
	return slices.IndexFunc(targets, func(m *machines.Machine) bool {
		host := m.Host()
		host.Tasks += p.addedTasks[m]
		return p.unallocated[m].Fits(j.Request()) && constraints.CanRunOn(&host)
	})
}
