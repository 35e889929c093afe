package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
)

// maxFaultOverrun is the maximum time for which faults last after the end of fault injection.
const maxFaultOverrun = 90 * time.Second

// faultInjector injects faults at random places and for random times.
type faultInjector struct {
	sim *Simulation
	// FaultRate is a factor for the frequency of faults; 0 disables them.
	FaultRate float64
	// VersionFlipRate is the probability that a crashed process restarts with the other version.
	VersionFlipRate float64
	faultsEnd       time.Time // no fault begins after this time
}

// faultsAllowed reports whether faults may begin now.
func (f *faultInjector) faultsAllowed() bool { return f.FaultRate > 0 && f.sim.now.Before(f.faultsEnd) }

// InjectFaults injects random faults of the given kinds, or of all kinds if none is given, until
// faults are no longer allowed.
func (f *faultInjector) InjectFaults(kinds ...Fault) {
	sim := f.sim
	var next func()
	next = func() {
		if !f.faultsAllowed() {
			return
		}
		kind := Fault(sim.rng.IntN(numberOfFaults))
		if len(kinds) > 0 {
			kind = kinds[sim.rng.IntN(len(kinds))]
		}
		f.Inject(kind, sim.between(1000, 40_000))
		sim.after(time.Duration(float64(sim.between(1000, 30_000))/f.FaultRate), next)
	}
	sim.after(sim.between(1000, 20_000), next)
}

// Inject begins a fault at a random node or machine.
func (f *faultInjector) Inject(kind Fault, span time.Duration) {
	n, a := f.sim.drawNode(), f.drawAgent()
	switch {
	case kind <= lastNodeFault:
		f.injectNodeFault(kind, n, span)
	case kind <= lastMachineFault:
		if a != nil {
			f.injectMachineFault(kind, a, span)
		}
	case kind <= lastServiceFault:
		f.injectServiceFault(kind, span)
	default:
		f.injectMessageFault(kind, span)
	}
}

// drawAgent draws an agent, or returns nil if there is none.
func (f *faultInjector) drawAgent() *agentProcess {
	names := f.sim.agentNames()
	if len(names) == 0 {
		return nil
	}
	return f.sim.fleet.agents[names[f.sim.rng.IntN(len(names))]]
}

// drawDownTime draws the time until a crashed process restarts.
func (f *faultInjector) drawDownTime() time.Duration { return f.sim.between(50, 5000) }

// injectNodeFault begins a fault of a controller or its connections.
func (f *faultInjector) injectNodeFault(kind Fault, n *node, span time.Duration) {
	sim := f.sim
	until := sim.now.Add(span)
	switch kind {
	case NodeCrash:
		n.crash(f.drawDownTime())
	case AllNodesCrash:
		f.crashAll(f.drawDownTime)
	case NodeCrashLoop:
		for range 4 {
			sim.after(sim.between(0, 4000), func() { n.crash(sim.between(1, 300)) })
		}
	case StoreOutage:
		sim.storeOutage(span)
	case StoreUnreachable:
		n.storeUnreachableUntil = until
	case LeaderStoreUnreachable:
		sim.forEachLeader(func(n *node) { n.storeUnreachableUntil = until })
	case StoreSlow:
		sim.storeLink.slowUntil = until
	case LeaderFrozen:
		sim.forEachLeader(func(n *node) { n.frozenUntil = until })
	case LeaderIsolated:
		sim.forEachLeader(func(n *node) {
			n.isolate(span)
			sim.redirectAgentsTo(n)
		})
	case NodesPartitioned:
		sim.network.partitionNodes(n, sim.drawNode(), span)
	case ZonePartitioned:
		zones := sim.Cloud.Type.Zones
		f.partitionZone(zones[sim.rng.IntN(len(zones))], until)
	}
}

// partitionZone separates a zone from everything outside, and its nodes from the key-value store
// too.
func (f *faultInjector) partitionZone(zone string, until time.Time) {
	f.sim.network.partitionZone(zone, until)
	for _, n := range f.sim.nodes {
		if n.zone == zone {
			n.storeUnreachableUntil = until
		}
	}
}

// injectMachineFault begins a fault of one machine or of the spot machines.
func (f *faultInjector) injectMachineFault(kind Fault, a *agentProcess, span time.Duration) {
	now := f.sim.now
	switch kind {
	case MachinePartitioned:
		a.partitionedUntil = now.Add(span)
	case MachineResponsesLost:
		a.responsesLostUntil = now.Add(2 * span)
	case MachineHangs:
		a.hungUntil = now.Add(span)
	case MachineFails:
		f.sim.removeMachine(a.ID)
	case SpotReclaimed:
		f.reclaimSpotMachines()
	case AgentReplaced:
		if f.sim.chance(youngestReplacedShare) {
			a = f.youngestAgent()
		}
		a.replace()
	case MachineHeartbeatsLost:
		a.heartbeatsLostUntil = now.Add(2 * span)
	}
}

// youngestReplacedShare is the share of the restarts that meet the youngest agent. The message numbers of
// its successor soon catch up with its own.
const youngestReplacedShare = 0.5

// youngestAgent returns the agent that has sent the fewest messages. There must be an agent.
func (f *faultInjector) youngestAgent() *agentProcess {
	var youngest *agentProcess
	for _, id := range f.sim.agentNames() {
		if a := f.sim.fleet.agents[id]; youngest == nil || a.Epoch == 1 && a.Sequence < youngest.Sequence {
			youngest = a
		}
	}
	return youngest
}

// reclaimNoticeS is the announced time until a spot machine is reclaimed, in seconds.
const reclaimNoticeS = 5.0

// reclaimSpotMachines reclaims about half of the spot machines after a notice.
func (f *faultInjector) reclaimSpotMachines() {
	sim := f.sim
	for _, id := range sim.agentNames() {
		if a := sim.fleet.agents[id]; a.Machine.Spot && sim.chance(0.5) {
			notice := reclaimNoticeS
			a.ReclaimNotice, a.StateChanged = &notice, true
			sim.after(sim.between(2500, 7500), func() { sim.removeMachine(id) })
		}
	}
}

// injectServiceFault begins a fault of the cloud, or of the leader with the key-value store.
func (f *faultInjector) injectServiceFault(kind Fault, span time.Duration) {
	sim := f.sim
	until := sim.now.Add(span)
	switch kind {
	case FastBoots:
		sim.Cloud.FastBootsUntil = until
	case StoreRefusesLeader:
		sim.forEachLeader(func(n *node) { n.storeRefusesUntil = until })
	case OutageAfterCancellation:
		f.outageAfterCancellation()
	case RepeatedFailovers:
		for i := range 10 {
			sim.after(time.Duration(i)*sim.between(11_000, 13_000), func() { f.CrashLeader(f.drawDownTime()) })
		}
	case FailoversSecondsApart:
		for i := range 3 {
			sim.after(time.Duration(i)*sim.between(1000, 4000), func() { f.CrashLeader(sim.between(50, 300)) })
		}
	}
}

// outageAfterCancellation injects overlapping faults that break a scheduler whose deposed leader
// continues to lead for too long. The key-value store refuses the leader alone, users cancel jobs
// at the next leader, and then the store refuses all nodes for longer than the cancellation
// deadline, while agents send their heartbeats to the old leader.
func (f *faultInjector) outageAfterCancellation() {
	sim := f.sim
	sim.forEachLeader(func(n *node) {
		n.storeRefusesUntil = sim.now.Add(14 * time.Second)
		sim.redirectAgentsTo(n)
	})
	sim.after(sim.between(1900, 3000), func() { sim.CancelRunning(10, 0) })
	sim.after(sim.between(3000, 5000), func() { sim.storeOutage(seconds.Duration(sim.Params.Workers.CancelDeadlineS + 12)) })
}

// injectMessageFault begins a fault of messages, or unfavourably timed requests of users.
func (f *faultInjector) injectMessageFault(kind Fault, span time.Duration) {
	sim := f.sim
	until := sim.now.Add(span)
	switch kind {
	case WriteResponsesLost:
		sim.storeLink.responsesLost = messageFault{0.5, until}
	case WritesDelayed:
		sim.storeLink.writesDelayed = messageFault{0.3, until}
	case HeartbeatsDuplicated:
		sim.fleet.heartbeatsDuplicated = messageFault{0.5, until}
	case HeartbeatsReplayedToNextLeader:
		sim.fleet.heartbeatsReplayed = messageFault{0.5, until}
	case DirectCallsDuplicated:
		sim.copies.duplicate(directCallRequest, until)
	case TransactionsDuplicated:
		sim.copies.duplicate(transactionRequest, until)
	case CloudCallsDuplicated:
		sim.copies.duplicate(cloudRequest, until)
	case PeerCallsDuplicated:
		sim.copies.duplicate(peerRequest, until)
	case FollowUpQueries:
		sim.EnableFollowUps(span)
	case RunningJobsCancelled:
		sim.CancelRunning(3, span/2)
	case CancelledAtCompletion:
		sim.CancelAtCompletion(0.3, span)
	case InvalidRequests:
		sim.SendInvalidRequests(span)
	}
}

// CrashLeader ends the leader's process and restarts it after a time.
func (f *faultInjector) CrashLeader(down time.Duration) {
	f.sim.forEachLeader(func(n *node) { n.crash(down) })
}

// CrashAll ends all controllers' processes and restarts them after a time.
func (f *faultInjector) CrashAll(down time.Duration) {
	f.crashAll(func() time.Duration { return down })
}

func (f *faultInjector) crashAll(down func() time.Duration) {
	for _, n := range f.sim.nodes {
		n.crash(down())
	}
}

// PartitionBusyMachines isolates a share of the machines with tasks, at least one, for a time.
func (f *faultInjector) PartitionBusyMachines(share float64, span time.Duration) {
	until := f.sim.now.Add(span)
	f.forEachBusyMachine(share, BusyMachinePartitioned, func(a *agentProcess) { a.partitionedUntil = until })
}

// LoseResponsesToBusyMachines drops the responses and direct calls to a share of the machines with
// tasks, at least one, for a time. Their heartbeats arrive.
func (f *faultInjector) LoseResponsesToBusyMachines(share float64, span time.Duration) {
	until := f.sim.now.Add(span)
	f.forEachBusyMachine(share, BusyMachineResponsesLost, func(a *agentProcess) { a.responsesLostUntil = until })
}

func (f *faultInjector) forEachBusyMachine(share float64, observation Observation, do func(*agentProcess)) {
	first := true
	for _, id := range f.sim.agentNames() {
		if f.sim.Invariants.HasTasksOn(id) && (first || f.sim.chance(share)) {
			first = false
			f.sim.Observed[observation]++
			do(f.sim.fleet.agents[id])
		}
	}
}
