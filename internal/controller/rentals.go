package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/provision"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// cloudState is what is known of the cloud: its offers, and the calls to it under way.
type cloudState struct {
	types  map[string]wire.MachineType
	offers []wire.MachineType
	// catalogue is the stored form of the types.
	catalogue        json.RawMessage
	refused          map[provision.Offer]time.Time // without capacity, until then
	partitionedZones map[string]time.Time          // zones that seem to be cut off, until then
	rentals          uint64                        // requests named so far
	pendingRentals   map[string]*rental            // by request
	// releasesInFlight is the number of releases without an answer.
	releasesInFlight int
	listsApplied     uint64 // machine lists
}

func newCloudState() cloudState {
	return cloudState{
		types:            map[string]wire.MachineType{},
		refused:          map[provision.Offer]time.Time{},
		partitionedZones: map[string]time.Time{},
		pendingRentals:   map[string]*rental{},
	}
}

// rental is a request for machines without an answer.
type rental struct {
	offer provision.Offer
	count int
	at    time.Time
	// replacementFor is the drain that the machines are replacements for, if any.
	replacementFor string
}

// price is what the machine costs now.
func (c *Controller) price(m *machine) float64 {
	if m.spot {
		return c.types[m.machineType].SpotPrice
	}
	return c.types[m.machineType].Price
}

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
	if now.Before(c.nextPlan) || len(c.types) == 0 || c.listsApplied == 0 {
		return nil
	}
	c.nextPlan = now.Add(tuning.PlanEvery)
	isolated := c.updateReachability(now)
	c.isolated = isolated
	in := c.planInput(now)
	if now.Sub(c.started) < seconds(c.params.Cloud.ListLagS) && c.term > 1 {
		// Machines that a predecessor rented last are not listed yet.
		in.Demand = nil
	}
	plan := provision.Make(in)
	calls := append(c.rentalCalls(now, plan.Rent), c.replacementCalls(now)...)
	if c.releasesInFlight > 0 {
		// The next releases take all that has come together meanwhile: the
		// budget of calls is better spent on rentals.
		return calls
	}
	return append(calls, c.releaseCalls(c.machinesToRelease(now, plan.Return, isolated))...)
}

// rentalCalls are the calls for the wanted machines, as many as may be under way.
func (c *Controller) rentalCalls(now time.Time, wanted map[provision.Offer]int) []CloudCall {
	most := max(1, int(c.params.Cloud.RPS*tuning.CloudShare*tuning.RentalsUnderWay))
	var calls []CloudCall
	for _, o := range slices.SortedFunc(maps.Keys(wanted), compareOffers) {
		if len(c.pendingRentals) >= most {
			break
		}
		calls = append(calls, c.rent(now, o, wanted[o], ""))
	}
	return calls
}

// rent is the call for machines of an offer; replacementFor is the drain that they are for, or "".
func (c *Controller) rent(now time.Time, o provision.Offer, count int, replacementFor string) CloudCall {
	c.rentals++
	r := wire.RentRequest{
		Request: fmt.Sprintf("r-%d-%d", c.term, c.rentals),
		Type:    o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(count, tuning.MaxRent),
	}
	c.pendingRentals[r.Request] = &rental{offer: o, count: r.Count, at: now, replacementFor: replacementFor}
	return CloudCall{Op: CloudRent, Rent: r}
}

// compareOffers orders spot offers first, then by type and zone.
func compareOffers(a, b provision.Offer) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
}

// machinesToRelease lists the machines to be returned, the most urgent first: those that keep
// urgent work from starting elsewhere, unless it is this node that is isolated, then
// those that the plan has no use for, then those that will do no more work.
func (c *Controller) machinesToRelease(now time.Time, unneeded []string, isolated bool) []string {
	var names []string
	for _, m := range c.machinesByName {
		if !isolated && c.holdsUrgentWork(now, m) {
			names = append(names, m.id)
		}
	}
	names = append(names, unneeded...)
	for _, m := range c.machinesByName {
		if !m.releasing && c.shouldRelease(now, m) {
			names = append(names, m.id)
		}
	}
	return names
}

// releaseCalls are the calls that return the named machines, as many as may be under way.
func (c *Controller) releaseCalls(names []string) []CloudCall {
	most := tuning.MaxRelease * max(1, int(c.params.Cloud.RPS*tuning.CloudShare*tuning.ReleasesUnderWay))
	var releasing []string
	for _, name := range names {
		if m := c.machines[name]; m != nil && !m.releasing && len(releasing) < most {
			m.releasing = true
			releasing = append(releasing, name)
		}
	}
	var calls []CloudCall
	for some := range slices.Chunk(releasing, tuning.MaxRelease) {
		c.releasesInFlight++
		calls = append(calls, CloudCall{Op: CloudRelease, Release: some})
	}
	return calls
}

// planInput is the snapshot that the planner decides on.
func (c *Controller) planInput(now time.Time) provision.Input {
	in := provision.Input{
		Types:       c.offers,
		KeepIdle:    tuning.IdleKeep,
		MaxMachines: c.operator.MaxMachines,
		Refused:     func(o provision.Offer) bool { return !c.offered(now, o) },
	}
	if c.operator.KeepIdleS > 0 {
		in.KeepIdle = seconds(c.operator.KeepIdleS)
	}
	in.Machines = slices.Concat(c.plannedMachines(now), c.machinesBeingRented())
	in.Demand = c.demand(now)
	c.updateSmoothedCPUs(now, c.busyCPUs())
	in.ReserveCPUs, in.InflowCPUs = c.smoothedCPUs, c.inflowNow(now)
	return in
}

// offered reports whether machines of an offer may be rented now.
func (c *Controller) offered(now time.Time, o provision.Offer) bool {
	return !now.Before(c.refused[o]) && !now.Before(c.partitionedZones[o.Zone]) && !c.closedByDrain(o)
}

// busyCPUs are those of all tasks that may be on machines which are not being released.
func (c *Controller) busyCPUs() float64 {
	busy := 0.0
	for _, m := range c.machinesByName {
		if m.releasing {
			continue
		}
		for _, a := range m.attempts {
			busy += a.job.CPUs
		}
	}
	return busy
}

// plannedMachines are the machines as the planner sees them.
func (c *Controller) plannedMachines(now time.Time) []provision.Machine {
	list := make([]provision.Machine, 0, len(c.machinesByName))
	for _, m := range c.machinesByName {
		if m.releasing {
			continue
		}
		p := provision.Machine{
			ID: m.id, Offer: provision.Offer{Type: m.machineType, Zone: m.zone, Spot: m.spot},
			Total: m.total, Free: m.free, Price: c.price(m),
			Open:    !m.cordoned() && !(m.up && c.isSilent(now, m)),
			Idle:    len(m.attempts) == 0 && m.up && m.confirmed && now.Sub(m.rentedAt) >= tuning.MinimumBill && !c.isReplacement(m.id),
			IdleFor: now.Sub(m.idleFrom),
		}
		if !m.up {
			p.Open = p.Open && !now.Before(c.partitionedZones[m.zone])
			p.ReadyInS = max(0, c.types[m.machineType].BootS-now.Sub(m.rentedAt).Seconds())
		}
		for _, a := range m.attempts {
			p.BusyS += c.remaining(now, a) * a.job.CPUs
		}
		list = append(list, p)
	}
	return list
}

// machinesBeingRented stand for what rentals without an answer will bring.
func (c *Controller) machinesBeingRented() []provision.Machine {
	var list []provision.Machine
	for _, name := range slices.Sorted(maps.Keys(c.pendingRentals)) {
		r := c.pendingRentals[name]
		t := c.types[r.offer.Type]
		for range r.count {
			list = append(list, provision.Machine{
				Offer: r.offer, Total: resources(t), Free: resources(t), Open: true, ReadyInS: t.BootS,
			})
		}
	}
	return list
}

// demand is the work that waits for room, within the teams' limits.
func (c *Controller) demand(now time.Time) []provision.Demand {
	room := map[string]float64{}
	for name, t := range c.teams {
		room[name] = t.CPUsMax - t.used.CPUs
	}
	ready, byID := c.readyJobs(now)
	sort.SliceStable(ready, func(i, k int) bool { return ready[i].Level < ready[k].Level })
	var demand []provision.Demand
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
		demand = append(demand, provision.Demand{
			Tasks: n, HorizonS: c.horizon(now, j), Need: j.need, EstimateS: r.EstimateS + float64(c.startDelay),
			Types: j.Types, Zone: j.Zone, Spot: j.Spot, Avoid: j.failedOn,
		})
	}
	return demand
}

// Rented takes in the answer of a rental: names, or none if refused.
func (c *Controller) Rented(now time.Time, r wire.RentRequest, names []string) {
	rent := c.pendingRentals[r.Request]
	delete(c.pendingRentals, r.Request)
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
	c.noteReplacements(rent.replacementFor, names)
	if len(names) < r.Count {
		c.refused[rent.offer] = now.Add(tuning.RefusalPause)
	}
	c.log.Debug().Str("request", r.Request).Str("zone", r.Zone).Bool("spot", r.Spot).Int("wanted", r.Count).Int("got", len(names)).Msg("rented")
}

// Released takes in that machines, and all on them, are gone.
func (c *Controller) Released(now time.Time, names []string) {
	c.releasesInFlight = max(0, c.releasesInFlight-1)
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
	c.listsApplied++
	c.listsComplete = c.listsComplete || asked.Sub(c.started) > c.longestListLag()
	listed := make(map[string]bool, len(list))
	for _, row := range list {
		listed[row.Name] = true
		if !c.released[row.Name] {
			c.applyListed(asked, now, row)
		}
	}
	if gone := c.missingLongEnough(asked, listed); len(gone) > 0 {
		c.remove(now, gone)
	}
}

// applyListed applies one row of a machine list.
func (c *Controller) applyListed(asked, now time.Time, row wire.ListedMachine) {
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

// longestListLag is by how much a machine list may be older than the request for it.
func (c *Controller) longestListLag() time.Duration {
	return seconds(c.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// missingLongEnough counts the machines that a list lacks, and names those that are
// provably gone. A machine stays listed until it is gone, and a list is at most twice
// its lag old: one asked for later than that after a machine was first listed
// describes a time at which it had been listed.
func (c *Controller) missingLongEnough(asked time.Time, listed map[string]bool) []string {
	var gone []string
	lag := c.longestListLag()
	for _, m := range c.machinesByName {
		if listed[m.id] || m.listedAt.IsZero() && !m.recorded {
			continue
		}
		m.missing++
		if !m.listedAt.IsZero() && asked.Sub(m.listedAt) > lag {
			gone = append(gone, m.id)
		}
	}
	return gone
}

// Silent reports whether machines that were heard of have fallen silent: the
// next list may tell that they are gone.
func (c *Controller) Silent(now time.Time) bool {
	for _, m := range c.machinesByName {
		if m.confirmed && len(m.attempts) > 0 && now.Sub(m.heardAt) > seconds(c.params.Workers.ReportS*tuning.LateReports) {
			return true
		}
	}
	return false
}
