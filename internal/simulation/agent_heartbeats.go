package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Timing of the agents' heartbeats.
const (
	agentPollInterval    = 100 * time.Millisecond
	minHeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout     = 4 * time.Second
	nextNodeDelay        = time.Second
)

// heartbeatLoop sends the agent's heartbeats one at a time: one every heartbeat interval, and
// earlier after a change, but at least minHeartbeatInterval after the last one.
func (a *agentProcess) heartbeatLoop() {
	if a.ended {
		return
	}
	sim := a.sim
	sim.after(agentPollInterval, a.heartbeatLoop)
	if a.inFlight || !a.isHeartbeatDue() || sim.now.Before(a.hungUntil) {
		return
	}
	if sim.now.Before(a.heartbeatsLostUntil) {
		sim.Observed[HeartbeatLost]++
		a.tryNextNode()
		return
	}
	h := &agentHeartbeat{sim: sim, agent: a, message: a.NextHeartbeat(), sentAt: sim.now}
	a.StateChanged = false
	a.lastHeartbeatAt = sim.now
	a.inFlight = true
	a.nextHeartbeatAt = sim.now.Add(seconds.Duration(sim.Params.Workers.HeartbeatIntervalS * (0.75 + 0.5*sim.rng.Float64())))
	h.send(sim.nodes[a.nodeIndex])
}

func (a *agentProcess) isHeartbeatDue() bool {
	now := a.sim.now
	return !now.Before(a.nextHeartbeatAt) || a.StateChanged && now.Sub(a.lastHeartbeatAt) >= minHeartbeatInterval
}

// tryNextNode makes an agent that got no response send its next heartbeat to the next node, after a
// short delay.
func (a *agentProcess) tryNextNode() {
	a.nodeIndex = (a.nodeIndex + 1) % len(a.sim.nodes)
	a.nextHeartbeatAt = a.sim.now.Add(nextNodeDelay)
}

// agentHeartbeat is a heartbeat in transit, copies of which may arrive late.
type agentHeartbeat struct {
	sim      *Simulation
	agent    *agentProcess
	message  *wire.Heartbeat
	sentAt   time.Time
	finished bool // responded to or timed out
}

// send delivers the heartbeat to its node after a delay, and copies of it as the active faults
// demand.
func (h *agentHeartbeat) send(target *node) {
	sim := h.sim
	sim.after(heartbeatTimeout, h.timeOut)
	deliver := func() { h.deliver(target, target, false) }
	if until, partitioned := h.partitionedUntil(target); partitioned {
		if sim.chance(0.5) {
			sim.after(until.Sub(sim.now)+sim.between(0, 30_000), deliver)
		}
		return
	}
	target.after(sim.network.agentDelay(), deliver)
	if sim.faultsAllowed() && sim.chance(0.02) {
		// The heartbeat arrives a second time, up to several lease durations later.
		sim.after(sim.between(100, 90_000), deliver)
	}
	if sim.affects(sim.fleet.heartbeatsDuplicated) {
		delay := sim.between(2000, int(3000*sim.Params.Workers.LeaseS))
		sim.after(delay, func() { h.deliver(target, target, true) })
	}
	if sim.affects(sim.fleet.heartbeatsReplayed) {
		sim.fleet.replays = append(sim.fleet.replays, func(at *node) { h.deliver(at, target, true) })
	}
}

// partitionedUntil reports whether the agent is partitioned from a node, and until when.
func (h *agentHeartbeat) partitionedUntil(target *node) (until time.Time, partitioned bool) {
	net := h.sim.network
	if net.zonesPartitioned(target.zone, h.agent.Machine.Zone) {
		return net.partitionedZoneUntil, true
	}
	return h.agent.partitionedUntil, h.sim.now.Before(h.agent.partitionedUntil)
}

// deliver delivers the heartbeat, or a copy of it, to a node; target is the node to which the agent
// sent it. The response to a copy is dropped.
func (h *agentHeartbeat) deliver(at, target *node, copied bool) {
	sim := h.sim
	n := sim.leaderForHeartbeat(at)
	if n == nil {
		if !copied {
			sim.after(sim.between(1, 20), h.timeOut)
		}
		return
	}
	holdsLeaderLease := n.leadership.HoldsLease(n.clock())
	response, outcome := n.leader.HandleHeartbeat(n.clock(), h.message, holdsLeaderLease)
	sim.trace(boundaryAgentResponse, n, h.agent.ID, response, outcome, copied)
	h.observe(outcome, holdsLeaderLease, copied)
	sim.fail(sim.Invariants.CheckCommands(sim.now, response.Commands))
	switch {
	case copied:
	case outcome != leader.HeartbeatApplied:
		sim.after(sim.between(1, 20), h.timeOut)
	case sim.faultsAllowed() && sim.chance(0.02):
		// The response is lost.
	default:
		n.after(sim.network.agentDelay(), func() { h.respond(target, response) })
	}
}

// observe counts the observations that a heartbeat's outcome makes.
func (h *agentHeartbeat) observe(outcome leader.HeartbeatOutcome, holdsLeaderLease, copied bool) {
	switch {
	case copied && outcome == leader.HeartbeatRejected:
		h.sim.Observed[StaleHeartbeatIgnored]++
	case copied:
		h.sim.Observed[DuplicateHeartbeatApplied]++
	case !holdsLeaderLease && outcome == leader.HeartbeatApplied:
		h.sim.Observed[HeartbeatInGracePeriod]++
	}
}

// respond delivers the response to the agent, if it still waits for it and can be reached.
func (h *agentHeartbeat) respond(target *node, response wire.HeartbeatResponse) {
	a := h.agent
	if h.finished || a.ended || !a.reachableFrom(target.zone) {
		return
	}
	h.finished = true
	a.inFlight = false
	a.answered = true
	a.HandleHeartbeatResponse(h.sim.now, h.sentAt, h.message.AgentEpoch, response)
}

// timeOut ends the wait for the response.
func (h *agentHeartbeat) timeOut() {
	if !h.finished {
		h.finished = true
		h.agent.inFlight = false
		h.agent.tryNextNode()
	}
}

// replayHeartbeats delivers copies of earlier heartbeats to all nodes when a term starts.
func (sim *Simulation) replayHeartbeats() {
	for _, deliver := range sim.fleet.replays {
		for _, n := range sim.nodes {
			n.after(sim.between(0, 50), func() { deliver(n) })
		}
	}
	sim.fleet.replays = nil
}

// redirectAgentsTo makes all agents send their next heartbeats to one node.
func (sim *Simulation) redirectAgentsTo(n *node) {
	for _, id := range sim.agentNames() {
		sim.fleet.agents[id].nodeIndex = n.id
	}
}
