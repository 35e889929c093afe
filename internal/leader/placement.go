package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// Tick does what time and changes have made due: leases that ran out,
// completions to write and, with authority, a placement pass.
func (l *Leader) Tick(now time.Time, authority bool) {
	l.processDependencyChanges(now)
	l.flushDone(now)
	if now.Sub(l.lastExpiry) >= tuning.TickInterval {
		l.lastExpiry = now
		l.expireLeases(now)
	}
	if authority && !now.Before(l.nextPass) && (l.changed || now.Sub(l.lastPass) >= time.Second) {
		l.changed = false
		l.lastPass = now
		before := l.scores
		l.place(now)
		l.nextPass = now.Add(tuning.PassInterval + time.Duration(l.scores-before)*tuning.PassDelayPerScoredPair)
		l.consolidate(now)
	}
}

// place runs a placement pass and records its starts.
func (l *Leader) place(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	machines := l.openMachines(now, highestPriority(ready))
	if len(machines) == 0 {
		return
	}
	agedJobs := map[*job]bool{}
	for _, j := range byID {
		agedJobs[j] = now.Sub(j.startAt) >= tuning.AgingThreshold
	}
	starts, work := placement.Run(l.clock(now), l.withAged(now, ready, byID), machines, l.teamUse(), tuning.PassMaxStarts)
	l.scores += work.ScoredPairs
	for _, s := range starts {
		j := byID[s.Job]
		l.start(now, j, l.machines[s.Machine], agedJobs[j])
	}
	if work.Truncated {
		l.changed = true
		return
	}
	if now.Sub(l.lastPreemption) >= tuning.PreemptInterval {
		l.lastPreemption = now
		l.preempt(now, ready, byID)
	}
}

// highestPriority is the highest priority of the jobs.
func highestPriority(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// openMachines are the machines that take work, as the pass sees them. A reservation
// lasts only as long as there is work that it may be for.
func (l *Leader) openMachines(now time.Time, highest int) []*placement.Machine {
	var machines []*placement.Machine
	for _, m := range l.machinesByName {
		if !l.acceptsWork(now, m) {
			continue
		}
		view := l.snapshot(now, m)
		view.HasReservation = now.Before(m.reservedUntil) && highest <= m.reservedRank
		view.ReservedRank = m.reservedRank
		machines = append(machines, view)
	}
	return machines
}

// teamUse is what each team uses, and its limit.
func (l *Leader) teamUse() map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for name, t := range l.teams {
		teams[name] = &placement.Team{Used: t.used, Max: placement.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax, MemoryGB: math.Inf(1)}}
	}
	return teams
}

// start puts the next ready task of a job on a machine. The start may go out only once
// the record of it is durable: a successor must know which machine to ask for the task.
func (l *Leader) start(now time.Time, j *job, m *machine, afterLongWait bool) {
	last := len(j.ready) - 1
	index := j.ready[last]
	j.ready = j.ready[:last]
	j.startAt, j.lastStartAt = now, now
	if j.firstStartAt.IsZero() {
		j.firstStartAt = now
	}
	a := &attempt{number: l.nextAttempt(), state: stateRecordPending, orderedAt: now, afterLongWait: afterLongWait}
	l.allocate(m, j, index, a)
	l.recordStart(a)
}

// clock is the time of placement passes, in seconds.
func (l *Leader) clock(now time.Time) float64 { return now.Sub(l.started).Seconds() }

// withAged puts some tasks of the jobs that have waited long without a start
// before all others. Priority, urgency and size decide who goes first, but
// nobody waits for ever: a lasting backlog of smaller or more urgent work
// would otherwise keep a large job from ever beginning.
func (l *Leader) withAged(now time.Time, ready []*placement.PendingJob, byID map[string]*job) []*placement.PendingJob {
	all := ready
	for _, r := range ready {
		j := byID[r.Job]
		if now.Sub(j.startAt) < tuning.AgingThreshold || j.failsEverywhere() {
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
func (l *Leader) readyJobs(now time.Time) ([]*placement.PendingJob, map[string]*job) {
	active := l.activeJobs()
	guaranteed := l.guaranteed(active)
	cpus := 0.0
	for _, m := range l.machines {
		cpus += m.total.CPUs
	}
	byID := map[string]*job{}
	var ready []*placement.PendingJob
	for _, j := range active {
		if len(j.ready) == 0 || now.Before(j.backOffUntil) {
			continue
		}
		r := j.constraints()
		r.Job, r.Team, r.PriorityRank, r.Guaranteed = j.ID, j.Team, j.priorityRank, guaranteed[j]
		r.Urgency, r.Tasks = l.urgency(now, j, cpus), len(j.ready)
		r.EstimateS, r.Image, r.ImageGB = l.runTimes.estimate(j), j.Image, j.ImageGB
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
func (j *job) constraints() *placement.PendingJob {
	return &placement.PendingJob{
		Types: j.MachineTypes, Zone: j.Zone, SameZone: j.OneZone, Spread: j.SpreadZones,
		Spot: j.Spot, Request: j.request, Total: j.Tasks, InZone: j.inZone,
	}
}

// placement is the machine as far as the rule asks where a task may be at all.
func (m *machine) placement() *placement.Machine {
	return &placement.Machine{Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: m.total}
}

// activeJobs lists the unfinished jobs that wait for no others, oldest first.
func (l *Leader) activeJobs() []*job {
	list := make([]*job, 0, len(l.live))
	for j := range l.live {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool {
		if !list[i].waitingSince.Equal(list[k].waitingSince) {
			return list[i].waitingSince.Before(list[k].waitingSince)
		}
		return list[i].ID < list[k].ID
	})
	return list
}

// guaranteed tells which unfinished jobs, listed oldest first, fit into their
// team's guarantee together with the team's earlier ones.
func (l *Leader) guaranteed(list []*job) map[*job]bool {
	used := map[string]placement.Resources{}
	fits := map[*job]bool{}
	for _, j := range list {
		t := l.teams[j.Team]
		if t == nil {
			continue
		}
		left := float64(j.Tasks - j.done.Len())
		sum := used[j.Team].Add(placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs}, left)
		used[j.Team] = sum
		if (placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs}).Fits(sum) {
			fits[j] = true
		}
	}
	return fits
}

// snapshot describes a machine to the placement rule. It is made anew only
// when something has changed there, or a pass has used it up.
func (l *Leader) snapshot(now time.Time, m *machine) *placement.Machine {
	if !m.snapshotOutdated && !m.snapshot.Modified {
		return m.snapshot
	}
	m.snapshotOutdated = false
	t := l.types[m.machineType]
	at := l.clock(now)
	s := m.snapshot
	if s == nil {
		s = &placement.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Avoid: m.avoidedJobs, Images: map[string]float64{}}
		m.snapshot = s
	}
	s.Modified = false
	s.Total, s.Free, s.FetchGBPerS, s.Price = m.total, m.free, t.FetchGBPerS, l.price(m)
	s.Loads = s.Loads[:0]
	clear(s.Images)
	for image := range m.images {
		s.Images[image] = 0
	}
	for _, a := range m.attempts {
		there := at
		if _, cached := m.images[a.job.Image]; !cached && t.FetchGBPerS > 0 {
			there = l.clock(a.orderedAt) + placement.FetchTime(a.job.ImageGB, t.FetchGBPerS)
			if there > s.Images[a.job.Image] {
				s.Images[a.job.Image] = there
			}
		}
		end := max(there, at) + l.remaining(now, a)
		s.Loads = append(s.Loads, placement.Load{Request: a.job.request, EndS: end})
	}
	slices.SortStableFunc(s.Loads, func(a, b placement.Load) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
