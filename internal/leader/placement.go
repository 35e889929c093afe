package leader

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// Tick does what time and changes have made due: leases that ran out,
// completions to write and, with authority, a placement pass.
func (l *Leader) Tick(now time.Time, authority bool) {
	l.processDependencyChanges(now)
	l.flushDone(now)
	if now.Sub(l.passes.lastExpiry) >= tuning.TickInterval {
		l.passes.lastExpiry = now
		l.expireLeases(now)
	}
	if authority && !now.Before(l.passes.next) && (l.changed || now.Sub(l.passes.last) >= time.Second) {
		l.changed = false
		l.passes.last = now
		before := l.scores
		l.place(now)
		l.passes.next = now.Add(tuning.PassInterval + time.Duration(l.scores-before)*tuning.PassDelayPerScoredPair)
		l.consolidate(now)
	}
}

// place runs a placement pass and records its starts.
func (l *Leader) place(now time.Time) {
	ready, byID := l.readyJobs(now)
	if len(ready) == 0 {
		return
	}
	open := l.openMachines(now, highestPriority(ready))
	if len(open) == 0 {
		return
	}
	agedJobs := map[*jobs.Job]bool{}
	for _, j := range byID {
		agedJobs[j] = j.SincePlacement(now) >= tuning.AgingThreshold
	}
	starts, work := placement.Run(l.clock(now), l.withAged(now, ready, byID), open, l.ledger.PlacementTeams(), tuning.PassMaxStarts)
	l.scores += work.ScoredPairs
	for _, s := range starts {
		j := byID[s.Job]
		l.start(now, j, l.machines.Get(s.Machine), agedJobs[j])
	}
	if work.Truncated {
		l.changed = true
		return
	}
	l.preempt(now, ready, byID)
}

// highestPriority is the highest priority of the jobs.
func highestPriority(ready []*placement.PendingJob) int {
	return slices.MinFunc(ready, func(a, b *placement.PendingJob) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) }).PriorityRank
}

// openMachines are the machines that take work, as the pass sees them. A reservation
// lasts only as long as there is work that it may be for.
func (l *Leader) openMachines(now time.Time, highest int) []*placement.Machine {
	var open []*placement.Machine
	for _, m := range l.machines.All() {
		if !l.acceptsWork(now, m) {
			continue
		}
		view := l.snapshot(now, m)
		rank, reserved := m.Reservation(now)
		view.HasReservation, view.ReservedRank = reserved && highest <= rank, rank
		open = append(open, view)
	}
	return open
}

// start puts the next ready task of a job on a machine. The start may go out only once
// the record of it is durable: a successor must know which machine to ask for the task.
func (l *Leader) start(now time.Time, j *jobs.Job, m *machines.Machine, afterLongWait bool) {
	index := j.PlaceNext(now)
	a := machines.NewPendingAttempt(m, j, index, now, l.nextAttempt(), afterLongWait)
	l.ledger.Allocate(a)
	l.starts.Add(a)
}

// sendStart lets a start go out whose record is durable.
func (l *Leader) sendStart(a *machines.Attempt) {
	a.MarkRecorded()
	l.calls.schedule(a.Machine)
}

// abandonStart lets a task be placed anew whose start can't be recorded: it has not gone out.
func (l *Leader) abandonStart(a *machines.Attempt) { l.release(a.OrderedAt(), a) }

// clock is the time of placement passes, in seconds.
func (l *Leader) clock(now time.Time) float64 { return now.Sub(l.timing.TermStart).Seconds() }

// withAged puts some tasks of the jobs that have waited long without a start
// before all others. Priority, urgency and size decide who goes first, but
// nobody waits for ever: a lasting backlog of smaller or more urgent work
// would otherwise keep a large job from ever beginning.
func (l *Leader) withAged(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) []*placement.PendingJob {
	all := ready
	for _, r := range ready {
		j := byID[r.Job]
		if j.SincePlacement(now) < tuning.AgingThreshold || j.FailsEverywhere() {
			continue
		}
		first := *r
		first.AgedS = j.SincePlacement(now).Seconds()
		first.ReadyTasks = min(r.ReadyTasks, max(1, int(float64(j.Tasks)*tuning.AgedTaskShare)))
		// Both see the same places taken.
		r.ReadyTasks -= first.ReadyTasks
		all = append(all, &first)
	}
	return all
}

// readyJobs lists jobs with tasks to place, oldest first.
func (l *Leader) readyJobs(now time.Time) ([]*placement.PendingJob, map[string]*jobs.Job) {
	active := l.activeJobs()
	guaranteed := l.ledger.WithinGuarantee(active)
	cpus := 0.0
	for _, m := range l.machines.All() {
		cpus += m.Total.CPUs
	}
	byID := map[string]*jobs.Job{}
	var ready []*placement.PendingJob
	for _, j := range active {
		if j.ReadyTasks() == 0 || j.IsBackingOff(now) {
			continue
		}
		r := j.Constraints()
		r.Job, r.Team, r.PriorityRank, r.WithinGuarantee = j.ID, j.Team, j.PriorityRank(), guaranteed[j]
		r.Urgency, r.ReadyTasks = l.runTimes.Urgency(now, j, l.params.Objectives, cpus), j.ReadyTasks()
		r.EstimateS, r.Image, r.ImageGB = l.runTimes.Estimate(j), j.Image, j.ImageGB
		if j.Failures() > 0 {
			// A job whose tasks fail tries one at a time.
			r.ReadyTasks = 1
		}
		r.TasksInZone = maps.Clone(r.TasksInZone) // a pass counts its own starts in
		byID[j.ID] = j
		ready = append(ready, r)
	}
	return ready, byID
}

// activeJobs lists the unfinished jobs that wait for no others, oldest first.
func (l *Leader) activeJobs() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(l.live))
	for j := range l.live {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool {
		if !list[i].WaitingSince().Equal(list[k].WaitingSince()) {
			return list[i].WaitingSince().Before(list[k].WaitingSince())
		}
		return list[i].ID < list[k].ID
	})
	return list
}

// snapshot describes a machine to the placement rule. It is made anew only
// when something has changed there, or a pass has used it up.
func (l *Leader) snapshot(now time.Time, m *machines.Machine) *placement.Machine {
	if !m.SnapshotOutdated && !m.Snapshot.Modified {
		return m.Snapshot
	}
	m.SnapshotOutdated = false
	t := l.catalogue.Type(m.Type)
	at := l.clock(now)
	s := m.Snapshot
	if s == nil {
		s = &placement.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, AvoidJobs: m.AvoidedJobs(), Images: map[string]float64{}}
		m.Snapshot = s
	}
	s.Modified = false
	s.Capacity, s.Free, s.FetchGBPerS, s.Price = m.Total, m.Free, t.FetchGBPerS, l.catalogue.Price(m)
	s.PlacedTasks = s.PlacedTasks[:0]
	clear(s.Images)
	for image := range m.Images {
		s.Images[image] = 0
	}
	for _, a := range m.Attempts {
		there := at
		if _, cached := m.Images[a.Job.Image]; !cached && t.FetchGBPerS > 0 {
			there = l.clock(a.OrderedAt()) + placement.FetchTime(a.Job.ImageGB, t.FetchGBPerS)
			if there > s.Images[a.Job.Image] {
				s.Images[a.Job.Image] = there
			}
		}
		end := max(there, at) + l.remaining(now, a)
		s.PlacedTasks = append(s.PlacedTasks, placement.PlacedTask{Request: a.Job.Request(), EndS: end})
	}
	slices.SortStableFunc(s.PlacedTasks, func(a, b placement.PlacedTask) int { return cmp.Compare(a.EndS, b.EndS) })
	return s
}
