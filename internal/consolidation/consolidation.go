// Package consolidation moves tasks off underused machines, so that the machines can be released.
// Without it, when demand falls, every machine would be kept, mostly idle, until its longest task
// ends. Only tasks that save checkpoints are moved, as they keep their progress. The package reads
// no clock and does no I/O.
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
	// RunnableJobs returns the unfinished jobs that do not wait for other jobs, oldest first.
	RunnableJobs func() []*jobs.Job
	// Price returns the current price of a machine.
	Price func(*machines.Machine) float64
	// RemainingS returns the estimated remaining run time of an attempt in seconds, or 0 if the
	// attempt has exceeded its estimate.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// OnStopsRequested is called for each cordoned machine whose attempts are marked to be stopped.
	OnStopsRequested func(*machines.Machine)
}

// Consolidator periodically moves tasks off underused machines.
type Consolidator struct {
	cluster Cluster
	lastRun time.Time
}

// New returns a consolidator for a cluster.
func New(cluster Cluster) *Consolidator { return &Consolidator{cluster: cluster} }

// Run cordons machines whose tasks fit on others, and marks their attempts to be stopped after they
// have saved a checkpoint. The scheduler then places the tasks again like any other. Run does this
// at most once per tuning.ConsolidateInterval, and returns the number of machines.
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
	// movable contains the machines whose tasks may be moved, targetsOnly the other schedulable
	// machines. Tasks may be moved to both.
	movable, targetsOnly []*machines.Machine
	// unallocated contains the capacity of each machine that is not yet allocated in this pass.
	unallocated map[*machines.Machine]placement.Resources
}

// classifyMachines sorts the schedulable machines into movable and targetsOnly.
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

// consolidate moves tasks off the most expensive machines first, and among equally expensive ones off those
// with the largest share of free CPUs.
func (p *pass) consolidate() int {
	slices.SortStableFunc(p.movable, func(a, b *machines.Machine) int {
		return cmp.Or(-cmp.Compare(p.Price(a), p.Price(b)), -cmp.Compare(a.Free().CPUs/a.Capacity().CPUs, b.Free().CPUs/b.Capacity().CPUs))
	})
	targets := slices.Concat(p.movable, p.targetsOnly)
	p.unallocated = map[*machines.Machine]placement.Resources{}
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
			continue // capacity on it is allocated to waiting or moved tasks
		}
		if p.allocateElsewhere(m, slices.Concat(p.targetsOnly, p.movable[i+1:])) {
			consolidated++
			p.cordonAndStop(m)
		}
	}
	return consolidated
}

// allocateForWaiting allocates capacity to waiting tasks, which take precedence over tasks that are
// moved.
func (p *pass) allocateForWaiting(targets []*machines.Machine) {
	for _, j := range p.RunnableJobs() {
		// Free capacity only shrinks here: a machine without capacity for one task of the job
		// has none for the job's next task either.
		rest := targets
		for range j.ReadyTasks() {
			i := p.firstFit(j, rest)
			if i < 0 {
				break
			}
			rest = rest[i:]
			p.allocate(rest[0], j)
		}
	}
}

// allocateElsewhere allocates capacity for all tasks of a machine on the targets, trying those with
// the fewest free CPUs first. If a task fits on none of them, it allocates nothing and returns false.
func (p *pass) allocateElsewhere(m *machines.Machine, targets []*machines.Machine) bool {
	slices.SortStableFunc(targets, func(a, b *machines.Machine) int { return cmp.Compare(p.unallocated[a].CPUs, p.unallocated[b].CPUs) })
	allocated := make([]*machines.Machine, 0, len(m.Attempts()))
	for _, a := range m.Attempts() {
		i := p.firstFit(a.Job, targets)
		if i < 0 {
			for k, t := range allocated {
				p.unallocated[t] = p.unallocated[t].Add(m.Attempts()[k].Job.Request(), 1)
			}
			return false
		}
		p.allocate(targets[i], a.Job)
		allocated = append(allocated, targets[i])
	}
	return true
}

// allocate subtracts the request of a task of the job from the machine's free capacity.
func (p *pass) allocate(m *machines.Machine, j *jobs.Job) {
	p.unallocated[m] = p.unallocated[m].Add(j.Request(), -1)
}

// cordonAndStop cordons a machine and marks its attempts to be stopped after they have saved a
// checkpoint.
func (p *pass) cordonAndStop(m *machines.Machine) {
	m.Cordon(machines.CordonConsolidated)
	for _, a := range m.Attempts() {
		a.RequestGracefulStop()
	}
	p.OnStopsRequested(m)
}

// isMovable reports whether all tasks of the machine may be moved, and whether that pays off. Each
// task must save checkpoints and have run for tuning.ConsolidateMinRunTime. At most half of the
// machine's CPUs may be in use, its minimum billing time must be over, and its longest task must be
// expected to run for at least tuning.ConsolidateMinLifetime.
func (p *pass) isMovable(m *machines.Machine) bool {
	if len(m.Attempts()) == 0 || m.Free().CPUs < m.Capacity().CPUs/2 || p.now.Sub(m.ProvisionedAt()) < tuning.MinimumBillingTime {
		return false
	}
	remainingS := 0.0
	for _, a := range m.Attempts() {
		if a.State() != machines.Running || a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.RunTime(p.now) < tuning.ConsolidateMinRunTime {
			return false
		}
		// A task that has exceeded its estimate is expected to run for about as long again
		// as it has run so far. Only a quarter of that is assumed.
		remainingS = max(remainingS, p.RemainingS(p.now, a), a.RunTime(p.now).Seconds()/4)
	}
	return remainingS >= tuning.ConsolidateMinLifetime.Seconds()
}

// firstFit returns the index of the first machine that has capacity for a task of the job and on
// which the task may run, or -1.
func (p *pass) firstFit(j *jobs.Job, targets []*machines.Machine) int {
	constraints := j.Constraints()
	return slices.IndexFunc(targets, func(m *machines.Machine) bool {
		return p.unallocated[m].Fits(j.Request()) && !m.AvoidsJob(j.ID) && constraints.CanRunOn(m.PlacementView())
	})
}
