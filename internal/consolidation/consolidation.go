// Package consolidation empties machines whose tasks fit elsewhere and can take their
// progress along, so that the machines can be released: in a lull each would
// otherwise stay for its longest task, mostly empty. It reads no clock and does no I/O.
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

// Cluster is what consolidation has to know of the cluster, and the one thing that it does to
// it.
type Cluster struct {
	Machines *machines.Registry
	// IsSchedulable reports whether a machine takes new tasks.
	IsSchedulable func(now time.Time, m *machines.Machine) bool
	// ActiveJobs returns the unfinished jobs that wait for no others, oldest first.
	ActiveJobs func() []*jobs.Job
	// Price is what a machine costs now.
	Price func(*machines.Machine) float64
	// RemainingS estimates the rest of an attempt's run time in seconds, 0 if it is over its
	// estimate.
	RemainingS func(now time.Time, a *machines.Attempt) float64
	// OnConsolidated is called with each machine whose attempts are to be stopped.
	OnConsolidated func(*machines.Machine)
}

// Consolidator empties machines now and then.
type Consolidator struct {
	cluster Cluster
	lastRun time.Time
}

// New returns a consolidator for a cluster.
func New(cluster Cluster) *Consolidator { return &Consolidator{cluster: cluster} }

// Run cordons machines that can be emptied and marks their attempts as to be stopped with time
// to save: they are placed again by the rule. It does so at most once per
// tuning.ConsolidateInterval, and returns the number of machines.
func (c *Consolidator) Run(now time.Time) int {
	if now.Sub(c.lastRun) < tuning.ConsolidateInterval {
		return 0
	}
	c.lastRun = now
	p := &pass{Cluster: &c.cluster, now: now}
	p.divide()
	if len(p.movable) < 2 {
		return 0
	}
	return p.run()
}

// pass is one search for machines to be emptied.
type pass struct {
	*Cluster
	now time.Time
	// movable are the machines that may be emptied, others those that only take work.
	movable, others []*machines.Machine
	// free is the capacity that is left for tasks that are moved.
	free map[*machines.Machine]placement.Resources
}

// divide finds out which of the machines that take work may be emptied.
func (p *pass) divide() {
	for _, m := range p.Machines.All() {
		switch {
		case !p.IsSchedulable(p.now, m):
		case p.isMovable(m):
			p.movable = append(p.movable, m)
		default:
			p.others = append(p.others, m)
		}
	}
}

// run empties the dearest and emptiest machines first, into the fullest of the others.
func (p *pass) run() int {
	slices.SortStableFunc(p.movable, func(a, b *machines.Machine) int {
		return cmp.Or(-cmp.Compare(p.Price(a), p.Price(b)), -cmp.Compare(a.Free().CPUs/a.Capacity().CPUs, b.Free().CPUs/b.Capacity().CPUs))
	})
	targets := slices.Concat(p.movable, p.others)
	p.free = map[*machines.Machine]placement.Resources{}
	for _, m := range targets {
		p.free[m] = m.Free()
	}
	p.reserveForWaiting(targets)
	emptied := 0
	for i, m := range p.movable {
		if emptied >= max(1, p.Machines.Len()/tuning.ConsolidateDivisor) {
			break
		}
		if p.free[m] != m.Free() {
			continue // it has got or will get work
		}
		if p.moveAll(m, slices.Concat(p.others, p.movable[i+1:])) {
			emptied++
			p.empty(m)
		}
	}
	return emptied
}

// reserveForWaiting takes the capacity for the work that waits: it goes before tasks that run
// already.
func (p *pass) reserveForWaiting(targets []*machines.Machine) {
	for _, j := range p.ActiveJobs() {
		rest := targets // capacity only shrinks here: what has none for one has none for the next
		for range j.ReadyTasks() {
			i := p.firstFit(j, rest)
			if i < 0 {
				break
			}
			rest = rest[i:]
			p.take(rest[0], j)
		}
	}
}

// moveAll takes capacity for all tasks of a machine on others, the fullest first, or none.
func (p *pass) moveAll(m *machines.Machine, targets []*machines.Machine) bool {
	slices.SortStableFunc(targets, func(a, b *machines.Machine) int { return cmp.Compare(p.free[a].CPUs, p.free[b].CPUs) })
	to := make([]*machines.Machine, 0, len(m.Attempts()))
	for _, a := range m.Attempts() {
		i := p.firstFit(a.Job, targets)
		if i < 0 {
			for k, t := range to {
				p.free[t] = p.free[t].Add(m.Attempts()[k].Job.Request(), 1)
			}
			return false
		}
		p.take(targets[i], a.Job)
		to = append(to, targets[i])
	}
	return true
}

// take takes the capacity for a task of the job.
func (p *pass) take(m *machines.Machine, j *jobs.Job) {
	p.free[m] = p.free[m].Add(j.Request(), -1)
}

// empty lets the tasks of a machine save and stop; it takes no more work.
func (p *pass) empty(m *machines.Machine) {
	m.Cordon(machines.CordonConsolidated)
	for _, a := range m.Attempts() {
		a.StopSaving()
	}
	p.OnConsolidated(m)
}

// isMovable reports whether all tasks of the machine can take their progress
// along, and whether moving them is worth it: the machine is at most half used
// and would stay for long, and none of the tasks has just begun.
func (p *pass) isMovable(m *machines.Machine) bool {
	if len(m.Attempts()) == 0 || m.Free().CPUs < m.Capacity().CPUs/2 || p.now.Sub(m.ProvisionedAt()) < tuning.MinimumBillingTime {
		return false
	}
	staysS := 0.0
	for _, a := range m.Attempts() {
		if a.State() != machines.Running || a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.RunTime(p.now) < tuning.ConsolidateMinRunTime {
			return false
		}
		// A task over its estimate goes on for about as long again as it is old,
		// as far as anyone can tell; a quarter is taken.
		staysS = max(staysS, p.RemainingS(p.now, a), a.RunTime(p.now).Seconds()/4)
	}
	return staysS >= tuning.ConsolidateMinLifetime.Seconds()
}

// firstFit finds the first machine that may take a task of the job and has
// capacity for it, or returns -1.
func (p *pass) firstFit(j *jobs.Job, targets []*machines.Machine) int {
	probe := j.Constraints()
	return slices.IndexFunc(targets, func(m *machines.Machine) bool {
		return p.free[m].Fits(j.Request()) && !m.Avoids(j.ID) && probe.Allowed(m.PlacementView())
	})
}
