package controller

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/provision"
	"switchshore.example/switchshore/internal/sched"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Tick does what time and changes have made due: leases that ran out,
// completions to write and, with authority, a placement pass.
func (c *Controller) Tick(now time.Time, authority bool) {
	c.follow(now)
	c.flushDone(now)
	if now.Sub(c.lastLook) >= tuning.TickEvery {
		c.lastLook = now
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
	highest := slices.MinFunc(ready, func(a, b *sched.Ready) int { return cmp.Compare(a.Level, b.Level) }).Level
	var machines []*sched.Machine
	for _, m := range c.order {
		if c.open(now, m) {
			view := c.snapshot(now, m)
			// Room is kept only as long as there is work that it may be for.
			view.Reserved = now.Before(m.reservedUntil) && highest <= m.reservedLevel
			view.ReservedLevel = m.reservedLevel
			machines = append(machines, view)
		}
	}
	if len(machines) == 0 {
		return
	}
	teams := map[string]*sched.Team{}
	for name, t := range c.teams {
		teams[name] = &sched.Team{Used: t.used, Max: sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax, MemoryGB: math.Inf(1)}}
	}
	aged := map[*job]bool{}
	for _, j := range byID {
		aged[j] = now.Sub(j.startAt) >= tuning.AgeAfter
	}
	starts, work := sched.Pass(c.clock(now), c.withAged(now, ready, byID), machines, teams, tuning.PassStarts)
	c.scores += work.Scores
	for _, s := range starts {
		j, m := byID[s.Job], c.machines[s.Machine]
		last := len(j.ready) - 1
		index := j.ready[last]
		j.ready = j.ready[:last]
		j.startAt = now
		// The start may go out only once the record of it is durable: a
		// successor must know which machine to ask for the task.
		a := &attempt{number: c.nextAttempt(), state: recording, orderedAt: now, aged: aged[j]}
		c.hold(m, j, index, a)
		c.logStart(a)
	}
	if work.Unfinished {
		c.changed = true
		return
	}
	if now.Sub(c.lastStop) >= tuning.PreemptEvery {
		c.lastStop = now
		c.preempt(now, ready, byID)
	}
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
		if now.Sub(j.startAt) < tuning.AgeAfter || j.mistaken() {
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
		r := j.probe()
		r.Job, r.Team, r.Level, r.Guaranteed = j.ID, j.Team, j.level, guaranteed[j]
		r.Urgency, r.Tasks = c.urgency(now, j, cpus), len(j.ready)
		r.EstimateS, r.Image, r.ImageGB = c.estimate(j), j.Image, j.ImageGB
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

// probe is where tasks of the job may be, to the placement rule.
func (j *job) probe() *sched.Ready {
	return &sched.Ready{
		Types: j.Types, Zone: j.Zone, OneZone: j.OneZone, Spread: j.Spread,
		Spot: j.Spot, Need: j.need, Total: j.Tasks, InZone: j.inZone,
	}
}

// place is the machine as far as the rule asks where a task may be at all.
func (m *machine) place() *sched.Machine {
	return &sched.Machine{Type: m.typ, Zone: m.zone, Spot: m.spot, Total: m.total}
}

// urgency orders jobs of one priority: by slack, and by the time that all
// machines together would need for the rest of the job, as under a backlog
// more jobs end in time when the small ones go first. Jobs without a time to
// meet follow.
func (c *Controller) urgency(now time.Time, j *job, cpus float64) float64 {
	work := float64(j.Tasks-j.done.Len()) * j.CPUs * c.estimate(j) / max(cpus, 1)
	if slack, ok := c.slack(now, j); ok {
		return slack + tuning.SizeWeight*work
	}
	return tuning.LateSlack - now.Sub(j.since).Seconds()
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
	if !m.stale && !m.view.Touched {
		return m.view
	}
	m.stale = false
	t := c.types[m.typ]
	at := c.clock(now)
	s := m.view
	if s == nil {
		s = &sched.Machine{ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Avoid: m.avoid, Images: map[string]float64{}}
		m.view = s
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

// price is what the machine costs now.
func (c *Controller) price(m *machine) float64 {
	if m.spot {
		return c.types[m.typ].SpotPrice
	}
	return c.types[m.typ].Price
}

// remaining is the run time left of an attempt by its estimate, at least zero.
func (c *Controller) remaining(now time.Time, a *attempt) float64 {
	ran := a.job.progress[a.index]
	if !a.runningAt.IsZero() {
		ran += now.Sub(a.runningAt).Seconds()
	}
	return max(0, c.estimate(a.job)-ran)
}

// Cloud calls.

// CloudOp is the kind of a cloud call.
type CloudOp int

// Cloud calls.
const (
	CloudRent CloudOp = iota
	CloudRelease
)

// CloudCall is a call to be made.
type CloudCall struct {
	Op      CloudOp
	Rent    wire.RentRequest
	Release []string
}

// Plan decides about renting and returning, at most once per planning period.
func (c *Controller) Plan(now time.Time) []CloudCall {
	if now.Before(c.nextPlan) || len(c.types) == 0 || c.lists == 0 {
		return nil
	}
	c.nextPlan = now.Add(tuning.PlanEvery)
	var calls []CloudCall
	lost := c.reach(now)
	in := c.planInput(now)
	if now.Sub(c.started) < seconds(c.params.Cloud.ListLagS) && c.term > 1 {
		// Machines that a predecessor rented last are not listed yet.
		in.Demand = nil
	}
	plan := provision.Make(in)
	var offers []provision.Offer
	for o := range plan.Rent {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(i, k int) bool {
		a, b := offers[i], offers[k]
		if a.Spot != b.Spot {
			return a.Spot
		}
		if a.Type != b.Type {
			return a.Type < b.Type
		}
		return a.Zone < b.Zone
	})
	most := max(1, int(c.params.Cloud.RPS*tuning.CloudShare*tuning.RentalsUnderWay))
	for _, o := range offers {
		if len(c.renting) >= most {
			break
		}
		c.rentals++
		r := wire.RentRequest{
			Request: fmt.Sprintf("r-%d-%d", c.term, c.rentals),
			Type:    o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(plan.Rent[o], tuning.MaxRent),
		}
		c.renting[r.Request] = &rental{offer: o, count: r.Count, at: now}
		calls = append(calls, CloudCall{Op: CloudRent, Rent: r})
	}
	if c.releasing > 0 {
		// The next releases take all that has come together meanwhile: the
		// budget of calls is better spent on rentals.
		return calls
	}
	releases := max(1, int(c.params.Cloud.RPS*tuning.CloudShare*tuning.ReleasesUnderWay))
	var give []string
	for _, m := range c.order {
		if !lost && c.pressing(now, m) {
			give = append(give, m.id)
		}
	}
	give = append(give, plan.Return...)
	for _, m := range c.order {
		if !m.releasing && c.useless(now, m) {
			give = append(give, m.id)
		}
	}
	var names []string
	for _, id := range give {
		if m := c.machines[id]; m != nil && !m.releasing && len(names) < tuning.MaxRelease*releases {
			m.releasing = true
			names = append(names, id)
		}
	}
	for some := range slices.Chunk(names, tuning.MaxRelease) {
		c.releasing++
		calls = append(calls, CloudCall{Op: CloudRelease, Release: some})
	}
	return calls
}

// reach looks at which machines known to be up can be heard. It notes the zones
// that seem to be cut off: most of their machines are missed, while those
// elsewhere are heard; what is rented there could not report. It returns whether
// many others are missed, too: then it must be this node that has lost them, or
// has not got round to their reports yet after a succession.
func (c *Controller) reach(now time.Time) (lost bool) {
	zones := map[string]*heard{}
	all := &heard{}
	for _, m := range c.order {
		if !m.up {
			continue
		}
		if zones[m.zone] == nil {
			zones[m.zone] = &heard{}
		}
		missed := c.missed(now, m)
		zones[m.zone].count(missed)
		all.count(missed)
	}
	rest := *all
	for zone, z := range zones {
		others := heard{all.known - z.known, all.missed - z.missed}
		switch {
		case z.missed >= tuning.DarkMachines && z.share() <= tuning.DarkShare && others.share() >= tuning.HeardShare:
			// Those missed may be released before long.
			c.dark[zone] = now.Add(c.leaseTime())
			rest.known -= z.known
			rest.missed -= z.missed
		case z.known > z.missed:
			delete(c.dark, zone)
		}
	}
	return rest.share() < tuning.HeardShare
}

// heard counts machines known to be up and those of them that are missed.
type heard struct{ known, missed int }

func (h *heard) count(missed bool) {
	h.known++
	if missed {
		h.missed++
	}
}

// share is the part that is heard, 0 of none.
func (h *heard) share() float64 { return float64(h.known-h.missed) / float64(max(h.known, 1)) }

// missed reports whether a machine known to be up has not been heard of for
// long, or not since this term began.
func (c *Controller) missed(now time.Time, m *machine) bool {
	return m.up && c.silent(now, m) && now.Sub(c.started) > c.silence()
}

// pressing reports whether a machine that is missed may hold work that would be
// late once its lease has run out, but not if it could start elsewhere now: the
// release proves it gone. Silence mostly outlasts the lease, and then the work
// on the machine is lost in any case. A successor would wait longest, as its
// predecessor may be cut off together with the machine and go on answering it.
func (c *Controller) pressing(now time.Time, m *machine) bool {
	if m.releasing || !c.missed(now, m) {
		return false
	}
	ends := m.answeredAt.Add(c.leaseTime())
	if !m.confirmed {
		ends = c.inheritedUntil
	}
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		slack, ok := c.slack(now, a.job)
		return ok && slack < ends.Sub(now).Seconds() && a.wanted()
	})
}

// useless reports whether a machine will do no more work: failed, never up,
// silent for long, or emptied for a drain.
func (c *Controller) useless(now time.Time, m *machine) bool {
	boot := c.types[m.typ].BootS
	switch {
	case m.failed, m.replaced, !m.fenceBy.IsZero() && now.After(m.fenceBy):
		return true
	case !m.up:
		return boot > 0 && now.Sub(m.rentedAt).Seconds() > boot*tuning.BootPatience
	case c.silent(now, m) && m.missing >= 2:
		return true
	case !m.deafAt.IsZero() && now.Sub(m.deafAt) > c.leaseTime()*3/2:
		// It can't be told anything; its tasks died with its lease.
		return true
	case !m.confirmed && !m.firstHeard.IsZero() && now.After(c.inheritedUntil) && now.Sub(m.firstHeard) > c.leaseTime()+tuning.AbandonAfter:
		// Heard, but never in this term: it doesn't get our answers. Whatever
		// it may hold waits for the release, which proves it gone.
		return true
	case m.strangers >= tuning.Strangers && c.leaseOver(now, m) && now.Sub(m.strangeFrom) > c.silence():
		// Only reports older than the newest: late copies, or a new worker that
		// began anew. It must not be taken for the old one, and can't be told
		// from copies, so the machine is replaced.
		return true
	case len(m.attempts) == 0 && m.retiring():
		return true
	}
	heard := m.heardAt
	if heard.IsZero() {
		heard = c.started
	}
	return now.Sub(heard) > c.leaseTime()+tuning.AbandonAfter
}

func (c *Controller) planInput(now time.Time) provision.Input {
	in := provision.Input{
		Types:       c.offers,
		KeepIdle:    tuning.IdleKeep,
		MaxMachines: c.operator.MaxMachines,
		Refused: func(o provision.Offer) bool {
			return now.Before(c.refused[o]) || now.Before(c.dark[o.Zone])
		},
	}
	if c.operator.KeepIdleS > 0 {
		in.KeepIdle = seconds(c.operator.KeepIdleS)
	}
	busy := 0.0
	for _, m := range c.order {
		if m.releasing {
			continue
		}
		t := c.types[m.typ]
		p := provision.Machine{
			ID: m.id, Offer: provision.Offer{Type: m.typ, Zone: m.zone, Spot: m.spot},
			Total: m.total, Free: m.free, Open: !m.retiring() && !m.replaced && !m.deaf() && !(m.up && c.silent(now, m)),
			Idle: len(m.attempts) == 0 && m.up && m.confirmed && now.Sub(m.rentedAt) >= tuning.MinimumBill, IdleFor: now.Sub(m.idleFrom), Price: c.price(m),
		}
		if !m.up {
			p.Open = p.Open && !now.Before(c.dark[m.zone])
			p.ReadyInS = max(0, t.BootS-now.Sub(m.rentedAt).Seconds())
		}
		for _, a := range m.attempts {
			p.BusyS += c.remaining(now, a) * a.job.CPUs
			busy += a.job.CPUs
		}
		in.Machines = append(in.Machines, p)
	}
	requests := make([]string, 0, len(c.renting))
	for name := range c.renting {
		requests = append(requests, name)
	}
	sort.Strings(requests)
	for _, name := range requests {
		r := c.renting[name]
		t := c.types[r.offer.Type]
		for range r.count {
			in.Machines = append(in.Machines, provision.Machine{
				Offer: r.offer, Total: resources(t), Free: resources(t), Open: true, ReadyInS: t.BootS,
			})
		}
	}
	room := map[string]float64{}
	for name, t := range c.teams {
		room[name] = t.CPUsMax - t.used.CPUs
	}
	ready, byID := c.readyJobs(now)
	sort.SliceStable(ready, func(i, k int) bool { return ready[i].Level < ready[k].Level })
	for _, r := range ready {
		j := byID[r.Job]
		limit := int(min(max(0, room[j.Team])/max(j.CPUs, 1e-9), float64(r.Tasks)))
		// A failing job tries one task at a time, but it has to find a machine
		// for that one: without demand of its own it could wait for ever.
		n := min(r.Tasks, limit)
		room[j.Team] -= float64(n) * j.CPUs
		if n == 0 {
			continue
		}
		in.Demand = append(in.Demand, provision.Demand{
			Tasks: n, HorizonS: c.horizon(now, j), Need: j.need, EstimateS: r.EstimateS,
			Types: j.Types, Zone: j.Zone, Spot: j.Spot, Avoid: j.failedOn,
		})
	}
	c.smooth(now, busy)
	in.ReserveCPUs, in.InflowCPUs = c.reserve, c.inflowNow(now)
	return in
}

// horizon is the time within which a job's tasks should begin: a part of its
// slack, so that pressing work makes the planner rent and patient work waits
// for the machines there are.
func (c *Controller) horizon(now time.Time, j *job) float64 {
	if c.operator.HorizonS > 0 {
		return c.operator.HorizonS
	}
	slack, ok := c.slack(now, j)
	if !ok {
		return tuning.PlanHorizon.Seconds()
	}
	return min(max(slack*tuning.PlanSlack, tuning.PlanHorizonMin.Seconds()), tuning.PlanHorizonMax.Seconds())
}

// rest is the run time by its estimate of a job's ready tasks, of the one with
// the least progress, or of a whole task if none is ready.
func (c *Controller) rest(j *job) float64 {
	whole := c.estimate(j)
	if len(j.progress) == 0 || len(j.ready) == 0 || len(j.ready) > len(j.progress) {
		return whole
	}
	least := whole
	for _, index := range j.ready {
		least = min(least, j.progress[index])
	}
	return max(tuning.MinimumEstimate, whole-least)
}

// slack is the time that may pass before a job can no longer be in time, by
// the deadline on its path and the objectives: of those it can still meet the
// nearest. It is false if there is none.
func (c *Controller) slack(now time.Time, j *job) (float64, bool) {
	rest := c.rest(j)
	best, found := 0.0, false
	due := func(since time.Time, after float64) {
		if s := after - now.Sub(since).Seconds() - rest; s >= 0 && (!found || s < best) {
			best, found = s, true
		}
	}
	last, left := j.path.last, j.path.left.Seconds()
	if last != nil {
		due(last.submitted, *last.DeadlineS-left)
	}
	for _, o := range c.params.Objectives {
		switch {
		case o.Kind == "deadline" && last != nil && o.Class == last.Class:
			due(last.submitted, *last.DeadlineS*max(o.Times, 1)-left)
		case o.Kind == "finished" && o.WithinS > 0 && o.Class == j.Class:
			due(j.since, o.WithinS)
		}
	}
	return best, found
}

// smooth keeps an exponentially weighted mean of the CPUs in use.
func (c *Controller) smooth(now time.Time, cpus float64) {
	if c.reserved.IsZero() {
		c.reserve = cpus
	} else {
		w := 1 - faded(now.Sub(c.reserved), tuning.DemandDecay)
		c.reserve += (cpus - c.reserve) * w
	}
	c.reserved = now
}

// flowIn counts the work of a job into the inflow.
func (c *Controller) flowIn(now time.Time, j *job) {
	work := float64(j.Tasks) * j.CPUs * c.estimate(j) / tuning.InflowDecay.Seconds()
	c.inflow, c.inflowAt = c.inflowNow(now)+work*faded(now.Sub(j.since), tuning.InflowDecay), now
}

// inflowNow is the CPUs that the work that keeps coming needs.
func (c *Controller) inflowNow(now time.Time) float64 {
	return c.inflow * faded(now.Sub(c.inflowAt), tuning.InflowDecay)
}

// faded is the weight that a smoothed value has after a time.
func faded(d, decay time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / decay.Seconds())
}

// Rented takes in the answer of a rental: names, or none if refused.
func (c *Controller) Rented(now time.Time, r wire.RentRequest, names []string) {
	rent := c.renting[r.Request]
	delete(c.renting, r.Request)
	if rent == nil {
		return
	}
	for _, id := range names {
		if c.released[id] || c.machines[id] != nil {
			continue
		}
		m := c.addMachine(now, id, r.Type, r.Zone, "", r.Spot)
		m.rentedAt = rent.at
	}
	if len(names) < r.Count {
		c.refused[rent.offer] = now.Add(tuning.RefusalPause)
	}
	c.log.Debug().Str("request", r.Request).Str("zone", r.Zone).Bool("spot", r.Spot).Int("wanted", r.Count).Int("got", len(names)).Msg("rented")
}

// Released takes in that machines, and all on them, are gone.
func (c *Controller) Released(now time.Time, names []string) {
	c.releasing = max(0, c.releasing-1)
	c.remove(now, names)
}

// remove forgets machines that are gone, with all on them.
func (c *Controller) remove(now time.Time, names []string) {
	for _, id := range names {
		c.released[id] = true
		m := c.machines[id]
		if m == nil {
			continue
		}
		c.dropAll(now, m)
		c.removeMachine(m)
	}
	c.log.Debug().Strs("machines", names).Msg("gone")
	c.changed = true
}

// Listed takes in a complete machine list, asked for at the given time.
func (c *Controller) Listed(asked, now time.Time, list []wire.ListedMachine) {
	c.lists++
	there := make(map[string]bool, len(list))
	for _, row := range list {
		there[row.Name] = true
		if c.released[row.Name] {
			continue
		}
		m := c.machines[row.Name]
		if m == nil {
			m = c.addMachine(asked, row.Name, row.Type, row.Zone, row.Addr, row.Spot)
		}
		// What a predecessor rented is older than this term: a successor that
		// took it for new kept idle machines through its minimum bill again.
		if at := asked.Add(-seconds(row.AgeS)); at.Before(m.rentedAt) {
			m.rentedAt = at
		}
		if m.addr == "" {
			m.addr = row.Addr
		}
		if m.listedAt.IsZero() {
			m.listedAt = now
		}
		m.missing = 0
		if row.State == wire.MachineFailed {
			m.failed = true
		}
	}
	var gone []string
	lag := seconds(c.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
	for _, m := range c.order {
		if there[m.id] || m.listedAt.IsZero() && !m.recorded {
			continue
		}
		m.missing++
		// A machine stays listed until it is gone, and a list is at most twice
		// its lag old: this one describes a time at which it had been listed.
		if !m.listedAt.IsZero() && asked.Sub(m.listedAt) > lag {
			gone = append(gone, m.id)
		}
	}
	if len(gone) > 0 {
		c.remove(now, gone)
	}
}

// Silent reports whether machines that were heard of have fallen silent: the
// next list may tell that they are gone.
func (c *Controller) Silent(now time.Time) bool {
	for _, m := range c.order {
		if m.confirmed && len(m.attempts) > 0 && now.Sub(m.heardAt) > seconds(c.params.Workers.ReportS*tuning.LateReports) {
			return true
		}
	}
	return false
}
