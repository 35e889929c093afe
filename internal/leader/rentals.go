package leader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/autoscale"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// cloudState is what is known of the cloud: its offers, and the calls to it under way.
type cloudState struct {
	unavailableOffers map[autoscale.Offer]time.Time // without capacity, until then
	partitionedZones  map[string]time.Time          // zones that seem to be cut off, until then
	provisionsNamed   uint64                        // requests named so far
	pendingProvisions map[string]*provisionRequest  // by request
	// releasesInFlight is the number of releases without an answer.
	releasesInFlight int
	listsApplied     uint64 // machine lists
}

func newCloudState() cloudState {
	return cloudState{
		unavailableOffers: map[autoscale.Offer]time.Time{},
		partitionedZones:  map[string]time.Time{},
		pendingProvisions: map[string]*provisionRequest{},
	}
}

// provisionRequest is a request for machines without an answer.
type provisionRequest struct {
	offer autoscale.Offer
	count int
	at    time.Time
	// replacementFor is the drain that the machines are replacements for, if any.
	replacementFor string
}

// CloudOp is the kind of a cloud call.
type CloudOp int

// Cloud calls.
const (
	CloudProvision CloudOp = iota
	CloudRelease
)

// CloudCall is a call to be made.
type CloudCall struct {
	Op        CloudOp
	Provision wire.ProvisionRequest
	Release   []string
}

// PlanScaling decides about renting and returning, at most once per planning period.
func (l *Leader) PlanScaling(now time.Time) []CloudCall {
	if now.Before(l.nextPlan) || !l.catalogue.Known() || l.listsApplied == 0 {
		return nil
	}
	l.nextPlan = now.Add(tuning.ScalingInterval)
	isolated := l.updateReachability(now)
	l.isolated = isolated
	in := l.planInput(now)
	if now.Sub(l.started) < seconds(l.params.Cloud.ListLagS) && l.term > 1 {
		// Machines that a predecessor rented last are not listed yet.
		in.Demand = nil
	}
	plan := autoscale.NewPlan(in)
	calls := append(l.provisionCalls(now, plan.ScaleOut), l.replacementCalls(now)...)
	if l.releasesInFlight > 0 {
		// The next releases take all that has come together meanwhile: the
		// budget of calls is better spent on rentals.
		return calls
	}
	return append(calls, l.releaseCalls(l.machinesToRelease(now, plan.ScaleIn, isolated))...)
}

// provisionCalls are the calls for the wanted machines, as many as may be under way.
func (l *Leader) provisionCalls(now time.Time, wanted map[autoscale.Offer]int) []CloudCall {
	most := max(1, int(l.params.Cloud.RPS*tuning.CloudShare*tuning.ProvisionsInFlight))
	var calls []CloudCall
	for _, o := range slices.SortedFunc(maps.Keys(wanted), compareOffers) {
		if len(l.pendingProvisions) >= most {
			break
		}
		calls = append(calls, l.provision(now, o, wanted[o], ""))
	}
	return calls
}

// provision is the call for machines of an offer; replacementFor is the drain that they are for, or "".
func (l *Leader) provision(now time.Time, o autoscale.Offer, count int, replacementFor string) CloudCall {
	l.provisionsNamed++
	r := wire.ProvisionRequest{
		RequestID: fmt.Sprintf("r-%d-%d", l.term, l.provisionsNamed),
		Type:      o.Type, Zone: o.Zone, Spot: o.Spot, Count: min(count, tuning.MaxProvisionCount),
	}
	l.pendingProvisions[r.RequestID] = &provisionRequest{offer: o, count: r.Count, at: now, replacementFor: replacementFor}
	return CloudCall{Op: CloudProvision, Provision: r}
}

// compareOffers orders spot offers first, then by type and zone.
func compareOffers(a, b autoscale.Offer) int {
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
func (l *Leader) machinesToRelease(now time.Time, unneeded []string, isolated bool) []string {
	var names []string
	for _, m := range l.machines.All() {
		if !isolated && l.holdsUrgentWork(now, m) {
			names = append(names, m.ID)
		}
	}
	names = append(names, unneeded...)
	for _, m := range l.machines.All() {
		if !m.Releasing && l.shouldRelease(now, m) {
			names = append(names, m.ID)
		}
	}
	return names
}

// releaseCalls are the calls that return the named machines, as many as may be under way.
func (l *Leader) releaseCalls(names []string) []CloudCall {
	most := tuning.MaxReleaseCount * max(1, int(l.params.Cloud.RPS*tuning.CloudShare*tuning.ReleasesInFlight))
	var releasing []string
	for _, name := range names {
		if m := l.machines.Get(name); m != nil && !m.Releasing && len(releasing) < most {
			m.Releasing = true
			releasing = append(releasing, name)
		}
	}
	var calls []CloudCall
	for some := range slices.Chunk(releasing, tuning.MaxReleaseCount) {
		l.releasesInFlight++
		calls = append(calls, CloudCall{Op: CloudRelease, Release: some})
	}
	return calls
}

// planInput is the snapshot that the planner decides on.
func (l *Leader) planInput(now time.Time) autoscale.Input {
	in := autoscale.Input{
		MachineTypes:    l.catalogue.Offers(),
		ScaleInIdleTime: tuning.ScaleInIdleTime,
		MaxMachines:     l.operator.MaxMachines,
		Unavailable:     func(o autoscale.Offer) bool { return !l.offered(now, o) },
	}
	if l.operator.ScaleInIdleS > 0 {
		in.ScaleInIdleTime = seconds(l.operator.ScaleInIdleS)
	}
	in.Machines = slices.Concat(l.plannedMachines(now), l.machinesBeingProvisioned())
	in.Demand = l.demand(now)
	l.updateSmoothedCPUs(now, l.busyCPUs())
	in.ReserveCPUs, in.InflowCPUs = l.smoothedCPUs, l.inflowNow(now)
	return in
}

// offered reports whether machines of an offer may be rented now.
func (l *Leader) offered(now time.Time, o autoscale.Offer) bool {
	return !now.Before(l.unavailableOffers[o]) && !now.Before(l.partitionedZones[o.Zone]) && !l.closedByDrain(o)
}

// busyCPUs are those of all tasks that may be on machines which are not being released.
func (l *Leader) busyCPUs() float64 {
	busy := 0.0
	for _, m := range l.machines.All() {
		if m.Releasing {
			continue
		}
		for _, a := range m.Attempts {
			busy += a.Job.CPUs
		}
	}
	return busy
}

// plannedMachines are the machines as the planner sees them.
func (l *Leader) plannedMachines(now time.Time) []autoscale.Machine {
	list := make([]autoscale.Machine, 0, l.machines.Len())
	for _, m := range l.machines.All() {
		if m.Releasing {
			continue
		}
		p := autoscale.Machine{
			ID: m.ID, Offer: autoscale.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot},
			Capacity: m.Total, Free: m.Free, Price: l.catalogue.Price(m),
			Schedulable: !m.Cordoned() && !(m.Joined && l.heartbeatOverdue(now, m)),
			Idle:        len(m.Attempts) == 0 && m.Joined && m.Reconciled && now.Sub(m.ProvisionedAt) >= tuning.MinimumBillingTime && !l.isReplacement(m.ID),
			IdleFor:     now.Sub(m.IdleSince),
		}
		if !m.Joined {
			p.Schedulable = p.Schedulable && !now.Before(l.partitionedZones[m.Zone])
			p.BootRemainingS = max(0, l.catalogue.Type(m.Type).BootTimeS-now.Sub(m.ProvisionedAt).Seconds())
		}
		for _, a := range m.Attempts {
			p.BusyS += l.remaining(now, a) * a.Job.CPUs
		}
		list = append(list, p)
	}
	return list
}

// machinesBeingProvisioned stand for what rentals without an answer will bring.
func (l *Leader) machinesBeingProvisioned() []autoscale.Machine {
	var list []autoscale.Machine
	for _, name := range slices.Sorted(maps.Keys(l.pendingProvisions)) {
		r := l.pendingProvisions[name]
		t := l.catalogue.Type(r.offer.Type)
		for range r.count {
			list = append(list, autoscale.Machine{
				Offer: r.offer, Capacity: machines.Resources(t), Free: machines.Resources(t), Schedulable: true, BootRemainingS: t.BootTimeS,
			})
		}
	}
	return list
}

// demand is the work that waits for room, within the teams' limits.
func (l *Leader) demand(now time.Time) []autoscale.Demand {
	room := map[string]float64{}
	for name, t := range l.teams {
		room[name] = t.CPUsMax - t.used.CPUs
	}
	ready, byID := l.readyJobs(now)
	sort.SliceStable(ready, func(i, k int) bool { return ready[i].PriorityRank < ready[k].PriorityRank })
	var demand []autoscale.Demand
	for _, r := range ready {
		j := byID[r.Job]
		limit := int(min(max(0, room[j.Team])/max(j.CPUs, 1e-9), float64(r.ReadyTasks)))
		// A failing job tries one task at a time, but it has to find a machine
		// for that one: without demand of its own it could wait for ever.
		n := min(r.ReadyTasks, limit)
		room[j.Team] -= float64(n) * j.CPUs
		if n == 0 {
			continue
		}
		demand = append(demand, autoscale.Demand{
			Tasks: n, StartWithinS: l.startWithin(now, j), Request: j.Request, EstimateS: r.EstimateS + float64(l.startDelay),
			MachineTypes: j.MachineTypes, Zone: j.Zone, Spot: j.Spot, AvoidMachines: j.FailedOn,
		})
	}
	return demand
}

// ProvisionDone takes in the answer of a rental: names, or none if refused.
func (l *Leader) ProvisionDone(now time.Time, r wire.ProvisionRequest, names []string) {
	rent := l.pendingProvisions[r.RequestID]
	delete(l.pendingProvisions, r.RequestID)
	if rent == nil {
		return
	}
	for _, id := range names {
		if l.machines.WasReleased(id) || l.machines.Get(id) != nil {
			continue
		}
		m := l.addMachine(now, id, r.Type, r.Zone, "", r.Spot)
		m.ProvisionedAt = rent.at
	}
	l.noteReplacements(rent.replacementFor, names)
	if len(names) < r.Count {
		l.unavailableOffers[rent.offer] = now.Add(tuning.UnavailableOfferBackoff)
	}
	l.log.Debug().Str("request", r.RequestID).Str("zone", r.Zone).Bool("spot", r.Spot).Int("requested", r.Count).Int("received", len(names)).Msg("machines provisioned")
}

// ReleaseDone takes in that machines, and all on them, are gone.
func (l *Leader) ReleaseDone(now time.Time, names []string) {
	l.releasesInFlight = max(0, l.releasesInFlight-1)
	l.remove(now, names)
}

// remove forgets machines that are gone, with all on them.
func (l *Leader) remove(now time.Time, names []string) {
	for _, id := range names {
		l.machines.MarkReleased(id)
		m := l.machines.Get(id)
		if m == nil {
			continue
		}
		l.releaseAll(now, m)
		l.machines.Remove(m)
	}
	l.log.Debug().Strs("machines", names).Msg("machines removed")
	l.changed = true
}

// ApplyMachineList takes in a complete machine list, asked for at the given time.
func (l *Leader) ApplyMachineList(asked, now time.Time, list []wire.ListedMachine) {
	l.listsApplied++
	l.listsComplete = l.listsComplete || asked.Sub(l.started) > l.longestListLag()
	listed := make(map[string]bool, len(list))
	for _, row := range list {
		listed[row.Name] = true
		if !l.machines.WasReleased(row.Name) {
			l.applyListed(asked, now, row)
		}
	}
	if gone := l.missingLongEnough(asked, listed); len(gone) > 0 {
		l.remove(now, gone)
	}
}

// applyListed applies one row of a machine list.
func (l *Leader) applyListed(asked, now time.Time, row wire.ListedMachine) {
	m := l.machines.Get(row.Name)
	if m == nil {
		m = l.addMachine(asked, row.Name, row.Type, row.Zone, row.Addr, row.Spot)
	}
	// What a predecessor rented is older than this term: a successor that
	// took it for new kept idle machines through its minimum bill again.
	if at := asked.Add(-seconds(row.AgeS)); at.Before(m.ProvisionedAt) {
		m.ProvisionedAt = at
	}
	if m.Addr == "" {
		m.Addr = row.Addr
	}
	if m.ListedAt.IsZero() {
		m.ListedAt = now
	}
	m.MissedLists = 0
	if row.State == wire.MachineFailed {
		m.Failed = true
	}
}

// longestListLag is by how much a machine list may be older than the request for it.
func (l *Leader) longestListLag() time.Duration {
	return seconds(l.params.Cloud.ListLagS * (1 + tuning.ClockDrift) * 2)
}

// missingLongEnough counts the machines that a list lacks, and names those that are
// provably gone. A machine stays listed until it is gone, and a list is at most twice
// its lag old: one asked for later than that after a machine was first listed
// describes a time at which it had been listed.
func (l *Leader) missingLongEnough(asked time.Time, listed map[string]bool) []string {
	var gone []string
	lag := l.longestListLag()
	for _, m := range l.machines.All() {
		if listed[m.ID] || m.ListedAt.IsZero() && !m.FromRecord {
			continue
		}
		m.MissedLists++
		if !m.ListedAt.IsZero() && asked.Sub(m.ListedAt) > lag {
			gone = append(gone, m.ID)
		}
	}
	return gone
}

// HeartbeatsMissing reports whether machines that were heard of have fallen silent: the
// next list may tell that they are gone.
func (l *Leader) HeartbeatsMissing(now time.Time) bool {
	for _, m := range l.machines.All() {
		if m.Reconciled && len(m.Attempts) > 0 && now.Sub(m.HeartbeatAt) > seconds(l.params.Workers.HeartbeatIntervalS*tuning.LateHeartbeatIntervals) {
			return true
		}
	}
	return false
}
