package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
)

// Fault is a kind of fault.
type Fault int

// Faults.
const (
	NodeCrash                      Fault = iota
	AllNodesCrash                        // all at once
	NodesFlap                            // back within a fraction of a second, also amid an election, and down again
	StoreOutage                          // for all
	StoreUnreachable                     // for one node
	StoreSlow                            // for all
	LeaderStoreUnreachable               // the leader loses the state service
	LeaderFrozen                         // the leader stands still while its clocks run on
	LeaderIsolated                       // and the other controllers, but not its workers
	NodesPartitioned                     // two can't reach each other
	ZonePartitioned                      // a zone is cut off from everything, messages are held
	MachinePartitioned                   // no network; messages may come late
	MachineResponsesLost                 // its reports arrive, answers and commands don't get there
	MachineHangs                         // and goes on later
	MachineDies                          // it dies, or is taken without a notice
	SpotReclaimed                        // spot machines, with a notice
	AgentReplaced                        // a new worker on the same machine knows nothing
	MachineHeartbeatsLost                // it reaches no controller, direct commands reach it
	FastBoots                            // new machines are up within two seconds
	StoreRefusesLeader                   // the state service answers 503 to the leader alone
	OutageAfterCancellation              // and then to everybody, for longer than a cancellation may take
	RepeatedFailovers                    // ten in two minutes
	WriteResponsesLost                   // transactions are carried out at once, their answers are lost
	WritesDelayed                        // or they are carried out late, after newer ones
	HeartbeatsDuplicated                 // copies arrive again, up to some leases later
	HeartbeatsReplayedToNextLeader       // or just as the next leader begins
	FollowUpQueries                      // users ask everywhere at every news
	RunningJobsCancelled                 // many jobs, some of whose machines hang
	CancelledAtCompletion                // just as their last task ends
	InvalidSubmissions                   // repeated, senseless or impossible ones
	numberOfFaults                 = iota
)

// InjectFaults injects random faults of the given kinds, or of all, until faults end.
func (sim *Simulation) InjectFaults(kinds ...Fault) {
	var next func()
	next = func() {
		if !sim.faultsAllowed() {
			return
		}
		kind := Fault(sim.rng.IntN(numberOfFaults))
		if len(kinds) > 0 {
			kind = kinds[sim.rng.IntN(len(kinds))]
		}
		sim.injectForRandomTime(kind)
		sim.after(time.Duration(float64(sim.between(1000, 30_000))/sim.FaultRate), next)
	}
	sim.after(sim.between(1000, 20_000), next)
}

// injectForRandomTime lets a fault begin, at a place and for a time that are drawn.
func (sim *Simulation) injectForRandomTime(kind Fault) { sim.Inject(kind, sim.between(1000, 40_000)) }

// At does something at a time of the day.
func (sim *Simulation) At(d time.Duration, do func()) { sim.after(sim.start.Add(d).Sub(sim.now), do) }

// Soon does something right after what happens now.
func (sim *Simulation) Soon(do func()) { sim.after(0, do) }

// eachLeader does something to every node that leads, or still thinks so.
func (sim *Simulation) eachLeader(do func(*node)) {
	for _, n := range sim.nodes {
		if n.leader != nil {
			do(n)
		}
	}
}

// Inject lets a fault begin, at a place that is drawn.
func (sim *Simulation) Inject(kind Fault, span time.Duration) {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	names := sim.agentNames()
	var m *agentProcess
	if len(names) > 0 {
		m = sim.agents[names[sim.rng.IntN(len(names))]]
	}
	switch {
	case kind < MachinePartitioned:
		sim.injectNodeFault(kind, n, span)
	case kind <= MachineHeartbeatsLost:
		if m != nil {
			sim.injectMachineFault(kind, m, span)
		}
	case kind <= RepeatedFailovers:
		sim.injectServiceFault(kind, span)
	default:
		sim.injectRequestFault(kind, span)
	}
}

// injectNodeFault lets something befall the controllers, or what they can reach.
func (sim *Simulation) injectNodeFault(kind Fault, n *node, span time.Duration) {
	until := sim.now.Add(span)
	switch kind {
	case NodeCrash:
		sim.crash(n, sim.drawDownTime())
	case AllNodesCrash:
		sim.crashAll(sim.drawDownTime)
	case NodesFlap:
		for range 4 {
			sim.after(sim.between(0, 4000), func() { sim.crash(n, sim.between(1, 300)) })
		}
	case StoreOutage:
		sim.outage(span)
	case StoreUnreachable:
		n.storeUnreachableUntil = until
	case LeaderStoreUnreachable:
		sim.eachLeader(func(n *node) { n.storeUnreachableUntil = until })
	case StoreSlow:
		sim.storeSlowUntil = until
	case LeaderFrozen:
		sim.eachLeader(func(n *node) { n.frozenUntil = until })
	case LeaderIsolated:
		sim.eachLeader(func(n *node) {
			sim.isolateNode(n, span)
			sim.redirectAgentsTo(n)
		})
	case NodesPartitioned:
		sim.partitionNodes(n, sim.nodes[sim.rng.IntN(len(sim.nodes))], span)
	case ZonePartitioned:
		zones := sim.Cloud.Type.Zones
		sim.partitionZone(zones[sim.rng.IntN(len(zones))], until)
	}
}

// partitionZone cuts a zone off from everything.
func (sim *Simulation) partitionZone(zone string, until time.Time) {
	sim.partitionedZone, sim.partitionedZoneUntil = zone, until
	for _, n := range sim.nodes {
		if n.zone == zone {
			n.storeUnreachableUntil = until
		}
	}
}

// injectMachineFault lets something befall one machine, or the spot machines.
func (sim *Simulation) injectMachineFault(kind Fault, m *agentProcess, span time.Duration) {
	switch kind {
	case MachinePartitioned:
		m.partitionedUntil = sim.now.Add(span)
	case MachineResponsesLost:
		m.responsesLostUntil = sim.now.Add(2 * span)
	case MachineHangs:
		m.hungUntil = sim.now.Add(span)
	case MachineDies:
		sim.removeMachine(m.ID)
	case SpotReclaimed:
		sim.reclaimSpot()
	case AgentReplaced:
		sim.replaceAgent(m)
	case MachineHeartbeatsLost:
		m.heartbeatsLostUntil = sim.now.Add(2 * span)
	}
}

// reclaimSpot takes half of the spot machines back, with a notice.
func (sim *Simulation) reclaimSpot() {
	for _, id := range sim.agentNames() {
		if m := sim.agents[id]; m.Machine.Spot && sim.chance(0.5) {
			notice := 5.0
			m.ReclaimNotice, m.HeartbeatDue = &notice, true
			sim.after(sim.between(2500, 7500), func() { sim.removeMachine(id) })
		}
	}
}

// injectServiceFault lets something befall the cloud, or the leader with the state service.
func (sim *Simulation) injectServiceFault(kind Fault, span time.Duration) {
	switch kind {
	case FastBoots:
		sim.Cloud.FastBootsUntil = sim.now.Add(span)
	case StoreRefusesLeader:
		sim.eachLeader(func(n *node) { n.storeRefusesUntil = sim.now.Add(span) })
	case OutageAfterCancellation:
		sim.outageAfterCancellation()
	case RepeatedFailovers:
		for i := range 10 {
			sim.after(time.Duration(i)*sim.between(11_000, 13_000), func() { sim.CrashLeader(sim.drawDownTime()) })
		}
	}
}

// injectRequestFault lets something befall messages, or users ask for it.
func (sim *Simulation) injectRequestFault(kind Fault, span time.Duration) {
	until := sim.now.Add(span)
	switch kind {
	case WriteResponsesLost:
		sim.writeResponsesLost = messageFault{0.5, until}
	case WritesDelayed:
		sim.writesDelayed = messageFault{0.3, until}
	case HeartbeatsDuplicated:
		sim.heartbeatsDuplicated = messageFault{0.5, until}
	case HeartbeatsReplayedToNextLeader:
		sim.heartbeatsReplayed = messageFault{0.5, until}
	case FollowUpQueries:
		sim.EnableFollowUps(span)
	case RunningJobsCancelled:
		sim.CancelRunning(3, span/2)
	case CancelledAtCompletion:
		sim.CancelAtCompletion(0.3, span)
	case InvalidSubmissions:
		sim.InvalidRequests(span)
	}
}

// SlowBoots lets new machines, for a time, come up late or never.
func (sim *Simulation) SlowBoots(span time.Duration) { sim.Cloud.SlowBootsUntil = sim.now.Add(span) }

// SlowLinks makes messages between workers and controllers slow for a time.
func (sim *Simulation) SlowLinks(span time.Duration) { sim.slowLinksUntil = sim.now.Add(span) }

// CrashLeader ends the leader's process, to be back after a time.
func (sim *Simulation) CrashLeader(down time.Duration) {
	sim.eachLeader(func(n *node) { sim.crash(n, down) })
}

// CrashAll ends all controllers, to be back after a time.
func (sim *Simulation) CrashAll(down time.Duration) {
	sim.crashAll(func() time.Duration { return down })
}

func (sim *Simulation) crashAll(down func() time.Duration) {
	for _, n := range sim.nodes {
		sim.crash(n, down())
	}
}

// drawDownTime draws the time for which an ended process is away.
func (sim *Simulation) drawDownTime() time.Duration { return sim.between(50, 5000) }

// PartitionBusyMachines cuts a share of the machines that tasks are on, at least one, off
// from everything.
func (sim *Simulation) PartitionBusyMachines(share float64, span time.Duration) {
	sim.eachBusyMachine(share, BusyMachinePartitioned, func(m *agentProcess) { m.partitionedUntil = sim.now.Add(span) })
}

// LoseResponsesToBusyMachines lets the reports of such machines arrive, and nothing get back.
func (sim *Simulation) LoseResponsesToBusyMachines(share float64, span time.Duration) {
	sim.eachBusyMachine(share, BusyMachineResponsesLost, func(m *agentProcess) { m.responsesLostUntil = sim.now.Add(span) })
}

func (sim *Simulation) eachBusyMachine(share float64, what Observation, do func(*agentProcess)) {
	first := true
	for _, id := range sim.agentNames() {
		if sim.Invariants.HasTasksOn(id) && (first || sim.chance(share)) {
			first = false
			sim.Observed[what]++
			do(sim.agents[id])
		}
	}
}

// messageFault is what befalls a share of all messages until a time.
type messageFault struct {
	share float64
	until time.Time
}

// affects draws whether it befalls a message sent now.
func (sim *Simulation) affects(s messageFault) bool {
	return sim.now.Before(s.until) && sim.chance(s.share)
}

// outage keeps the state service down for a time.
func (sim *Simulation) outage(span time.Duration) {
	sim.Store.Down = true
	if until := sim.now.Add(span); until.After(sim.storeDownUntil) {
		sim.storeDownUntil = until
	}
	sim.after(span, func() {
		if !sim.now.Before(sim.storeDownUntil) {
			sim.Store.Down = false
		}
	})
}

// redirectAgentsTo lets all workers report to one node, as they do after it was alone.
func (sim *Simulation) redirectAgentsTo(n *node) {
	for _, id := range sim.agentNames() {
		sim.agents[id].targetNode = n.id
	}
}

// outageAfterCancellation is the overlap of faults that broke most schedulers: the state service refuses the
// leader alone, users cancel at the next leader, and then it refuses everybody
// for longer than a cancellation may take, while workers go on reporting to the
// old leader.
func (sim *Simulation) outageAfterCancellation() {
	sim.eachLeader(func(n *node) {
		n.storeRefusesUntil = sim.now.Add(14 * time.Second)
		sim.redirectAgentsTo(n)
	})
	sim.after(sim.between(1900, 3000), func() { sim.CancelRunning(10, 0) })
	sim.after(sim.between(3000, 5000), func() {
		sim.outage(time.Duration((sim.Params.Workers.CancelDeadlineS + 12) * float64(time.Second)))
	})
}

// partitionNodes keeps two nodes from reaching each other.
func (sim *Simulation) partitionNodes(a, b *node, span time.Duration) {
	pair := [2]int{min(a.id, b.id), max(a.id, b.id)}
	sim.partitionedPairs[pair] = true
	sim.after(span, func() { delete(sim.partitionedPairs, pair) })
}

// isolateNode cuts a node off from the state service and all other nodes.
func (sim *Simulation) isolateNode(n *node, span time.Duration) {
	n.storeUnreachableUntil = sim.now.Add(span)
	for _, other := range sim.nodes {
		if n != other {
			sim.partitionNodes(n, other, span)
		}
	}
}

// crash ends a process and starts it again.
func (sim *Simulation) crash(n *node, down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.frozenUntil = time.Time{}
	n.leadership, n.leader, n.writer, n.batch = nil, nil, nil, nil
	sim.after(down, func() {
		if sim.faultsAllowed() && sim.chance(sim.VersionFlipRate) {
			n.previousVersion = !n.previousVersion
		}
		n.up = true
		n.gate, n.peerOffers = nil, map[string]admission.NodeOffers{}
		sim.electionStep(n, n.incarnation)
	})
}
