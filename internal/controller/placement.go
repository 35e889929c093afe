package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
)

// Tick does what time and changes have made due: leases that ran out,
// completions to write and, with authority, a placement pass.
func (c *Controller) Tick(now time.Time, authority bool) {
	c.processDependencyChanges(now)
	c.flushDone(now)
	if now.Sub(c.lastExpiry) >= tuning.TickEvery {
		c.lastExpiry = now
		c.expire(now)
	}
	if authority && !now.Before(c.nextPass) && (c.changed || now.Sub(c.lastPass) >= time.Second) {
		c.changed = false
		c.lastPass = now
		before := c.scores
		c.place(now)
		c.nextPass = now.Add(tuning.PassGap + time.Duration(c.scores-before)*tuning.ScorePause)
		c.consolidate(now)
	}
}

// place runs a placement pass and records its starts.
func (c *Controller) place(now time.Time) {
	ready, byID := c.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	machines := c.openMachines(now, highestPriority(ready))
	if len(machines) == 0 {
		return
	}
	agedJobs := map[*job]bool{}
	for _, j := range byID {
		agedJobs[j] = now.Sub(j.startAt) >= tuning.AgeAfter
	}
	starts, work := sched.Pass(c.clock(now), c.withAged(now, ready, byID), machines, c.teamUse(), tuning.PassStarts)
	c.scores += work.Scores
	for _, s := range starts {
		j := byID[s.Job]
		c.start(now, j, c.machines[s.Machine], agedJobs[j])
	}
	if work.Unfinished {
		c.changed = true
		return
	}
	if now.Sub(c.lastPreemption) >= tuning.PreemptEvery {
		c.lastPreemption = now
		c.preempt(now, ready, byID)
	}
}

// highestPriority is the highest priority of the jobs.
func highestPriority(ready []*sched.Ready) int {
	return slices.MinFunc(ready, func(a, b *sched.Ready) int { return cmp.Compare(a.Level, b.Level) }).Level
}

// openMachines are the machines that take work, as the pass sees them. A reservation
// lasts only as long as there is work that it may be for.
func (c *Controller) openMachines(now time.Time, highest int) []*sched.Machine {
	var machines []*sched.Machine
	for _, m := range c.machinesByName {
		if !c.acceptsWork(now, m) {
			continue
		}
		view := c.snapshot(now, m)
		view.Reserved = now.Before(m.reservedUntil) && highest <= m.reservedLevel
		view.ReservedLevel = m.reservedLevel
		machines = append(machines, view)
	}
	return machines
}

// teamUse is what each team uses, and its limit.
func (c *Controller) teamUse() map[string]*sched.Team {
	teams := map[string]*sched.Team{}
	for name, t := range c.teams {
		teams[name] = &sched.Team{Used: t.used, Max: sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax, MemoryGB: math.Inf(1)}}
	}
	return teams
}

// start puts the next ready task of a job on a machine. The start may go out only once
// the record of it is durable: a successor must know which machine to ask for the task.
func (c *Controller) start(now time.Time, j *job, m *machine, afterLongWait bool) {
	last := len(j.ready) - 1
	index := j.ready[last]
	j.ready = j.ready[:last]
	j.startAt, j.lastStartAt = now, now
	if j.firstStartAt.IsZero() {
		j.firstStartAt = now
	}
	a := &attempt{number: c.nextAttempt(), state: recordPending, orderedAt: now, afterLongWait: afterLongWait}
	c.hold(m, j, index, a)
	c.recordStart(a)
}

// clock is the time of placement passes, in seconds.
func (c *Controller) clock(now time.Time) float64 { return now.Sub(c.started).Seconds() }

// withAged puts some tasks of the jobs that have waited long without a start
// before all others. Priority, urgency and size decide who goes first, but
// nobody waits for ever: a lasting backlog of smaller or more urgent work
// would otherwise keep a large job from ever beginning.
func (c *Controller) withAged(now time.Time, ready []*sched.Ready, byID map[string]*job) []*sched.Ready {
	all := ready
	for _, r := range ready {
		j := byID[r.Job]
		if now.Sub(j.startAt) < tuning.AgeAfter || j.failsEverywhere() {
			continue
		}
		first := *r
		first.AgedS = now.Sub(j.startAt).Seconds()
		first.Tasks = min(r.Tasks, max(1, int(float64(j.Tasks)*tuning.AgedShare)))
		// Both see the same places taken.
		r.Tasks -= first.Tasks
		all = append(all, &first)
	}
	return all
}

// readyJobs lists jobs with tasks to place, oldest first.
func (c *Controller) readyJobs(now time.Time) ([]*sched.Ready, map[string]*job) {
	active := c.activeJobs()
	guaranteed := c.guaranteed(active)
	cpus := 0.0
	for _, m := range c.machines {
		cpus += m.total.CPUs
	}
	byID := map[string]*job{}
	var ready []*sched.Ready
	for _, j := range active {
		if len(j.ready) == 0 || now.Before(j.notUntil) {
			continue
		}
		r := j.constraints()
		r.Job, r.Team, r.Level, r.Guaranteed = j.ID, j.Team, j.level, guaranteed[j]
		r.Urgency, r.Tasks = c.urgency(now, j, cpus), len(j.ready)
		r.EstimateS, r.Image, r.ImageGB = c.runTimes.estimate(j), j.Image, j.ImageGB
		if j.failures > 0 {
			// A job whose tasks fail tries one at a time.
			r.Tasks = 1
		}
		r.InZone = maps.Clone(j.inZone) // a pass counts its own starts in
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}

// constraints is where tasks of the job may be, to the placement rule.
func (j *job) constraints() *sched.Ready {
	return &sched.Ready{
		Types: j.Types, Zone: j.Zone, OneZone: j.OneZone, Spread: j.Spread,
		Spot: j.Spot, Need: j.need, Total: j.Tasks, InZone: j.inZone,
	}
}

// placement is the machine as far as the rule asks where a task may be at all.
func (m *machine) placement() *sched.Machine {
	return &sched.Machine{Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: m.total}
}

// activeJobs lists the unfinished jobs that wait for no others, oldest first.
func (c *Controller) activeJobs() []*job {
	list := make([]*job, 0, len(c.live))
	for j := range c.live {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool {
		if !list[i].since.Equal(list[k].since) {
			return list[i].since.Before(list[k].since)
		}
		return list[i].ID < list[k].ID
	})
	return list
}

// guaranteed tells which unfinished jobs, listed oldest first, fit into their
// team's guarantee together with the team's earlier ones.
func (c *Controller) guaranteed(list []*job) map[*job]bool {
	used := map[string]sched.Resources{}
	fits := map[*job]bool{}
	for _, j := range list {
		t := c.teams[j.Team]
		if t == nil {
			continue
		}
		left := float64(j.Tasks - j.done.Len())
		sum := used[j.Team].Add(sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs}, left)
		used[j.Team] = sum
		if (sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs}).Fits(sum) {
			fits[j] = true
		}
	}
	return fits
}

// snapshot describes a machine to the placement rule. It is made anew only
// when something has changed there, or a pass has used it up.
func (c *Controller) snapshot(now time.Time, m *machine) *sched.Machine {
	if !m.viewOutdated && !m.snapshot.Touched {
		return m.snapshot
	}
	m.viewOutdated = false
	t := c.types[m.machineType]
	at := c.clock(now)
	s := m.snapshot
	if s == nil {
		s = &sched.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Avoid: m.avoid, Images: map[string]float64{}}
		m.snapshot = s
	}
	s.Touched = false
	s.Total, s.Free, s.FetchGBPerS, s.Price = m.total, m.free, t.FetchGBPerS, c.price(m)
	s.Loads = s.Loads[:0]
	clear(s.Images)
	for image := range m.images {
		s.Images[image] = 0
	}
	for _, a := range m.attempts {
		there := at
		if _, cached := m.images[a.job.Image]; !cached && t.FetchGBPerS > 0 {
			there = c.clock(a.orderedAt) + sched.FetchTime(a.job.ImageGB, t.FetchGBPerS)
			if there > s.Images[a.job.Image] {
				s.Images[a.job.Image] = there
			}
		}
		end := max(there, at) + c.remaining(now, a)
		s.Loads = append(s.Loads, sched.Load{Need: a.job.need, EndS: end})
	}
	slices.SortStableFunc(s.Loads, func(a, b sched.Load) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
