package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// agentHeartbeatLoop is a worker's loop: one report in flight, sent every few seconds and
// half a second after a change.
func (sim *Simulation) agentHeartbeatLoop(m *agentProcess) {
	if m.ended {
		return
	}
	sim.after(100*time.Millisecond, func() { sim.agentHeartbeatLoop(m) })
	due := !sim.now.Before(m.nextHeartbeatAt) || m.HeartbeatDue && sim.now.Sub(m.lastHeartbeatAt) >= 500*time.Millisecond
	if m.inFlight || !due || sim.now.Before(m.hungUntil) {
		return
	}
	if sim.now.Before(m.heartbeatsLostUntil) {
		sim.Observed[HeartbeatLost]++
		sim.tryNextNode(m)
		return
	}
	s := &agentHeartbeat{Simulation: sim, agent: m, message: m.NextHeartbeat(), sentAt: sim.now}
	m.HeartbeatDue = false
	m.lastHeartbeatAt = sim.now
	m.inFlight = true
	m.nextHeartbeatAt = sim.now.Add(time.Duration(sim.Params.Workers.HeartbeatIntervalS * (0.75 + 0.5*sim.rng.Float64()) * float64(time.Second)))
	s.send(sim.nodes[m.targetNode])
}

// tryNextNode lets a worker without an answer turn to the next node a second later.
func (sim *Simulation) tryNextNode(m *agentProcess) {
	m.targetNode = (m.targetNode + 1) % len(sim.nodes)
	m.nextHeartbeatAt = sim.now.Add(time.Second)
}

// agentHeartbeat is one report on its way, of which copies may arrive late.
type agentHeartbeat struct {
	*Simulation
	agent   *agentProcess
	message *wire.Heartbeat
	sentAt  time.Time // when it was sent
	settled bool      // or given up
}

// send brings the report to its node, and copies of it to where the faults ask for.
func (h *agentHeartbeat) send(target *node) {
	h.after(4*time.Second, h.giveUp)
	deliver := func() { h.deliver(target, target, false) }
	zone := h.agent.Machine.Zone
	if partitioned := h.zonePartitioned(target.zone, zone); partitioned || h.now.Before(h.agent.partitionedUntil) {
		until := h.agent.partitionedUntil
		if partitioned {
			until = h.partitionedZoneUntil
		}
		if h.chance(0.5) {
			h.after(until.Sub(h.now)+h.between(0, 30_000), deliver)
		}
		return
	}
	h.onNode(target, h.linkDelay(), deliver)
	if h.faultsAllowed() && h.chance(0.02) {
		// A late copy, by up to several leases.
		h.after(h.between(100, 90_000), deliver)
	}
	if h.affects(h.heartbeatsDuplicated) {
		h.after(h.between(2000, int(3000*h.Params.Workers.LeaseS)), func() { h.deliver(target, target, true) })
	}
	if h.affects(h.heartbeatsReplayed) {
		h.heartbeatsForNextLeader = append(h.heartbeatsForNextLeader, func(at *node) { h.deliver(at, target, true) })
	}
}

// deliver gives the report, or a copy of it, to a node. Nobody waits for the
// answer to a copy.
func (h *agentHeartbeat) deliver(at, target *node, copied bool) {
	n := h.heartbeatHandler(at)
	if n == nil {
		if !copied {
			h.after(h.between(1, 20), h.giveUp)
		}
		return
	}
	authority := n.leadership.HoldsLease(h.clock(n))
	answer, outcome := n.leader.HandleHeartbeat(h.clock(n), h.message, authority)
	h.trace(boundaryAgentResponse, n, h.agent.ID, answer, outcome, copied)
	h.observe(outcome, authority, copied)
	if err := h.Invariants.CheckCommands(h.now, answer.Commands); err != nil && h.failure == nil {
		h.failure = err
	}
	switch {
	case copied:
	case outcome != leader.HeartbeatApplied:
		h.after(h.between(1, 20), h.giveUp)
	case h.faultsAllowed() && h.chance(0.02):
		// The answer is lost.
	default:
		h.onNode(n, h.linkDelay(), func() { h.respond(target, answer) })
	}
}

// observe counts what a test asks for by name.
func (h *agentHeartbeat) observe(outcome leader.HeartbeatOutcome, authority, copied bool) {
	switch {
	case copied && outcome == leader.HeartbeatStale:
		h.Observed[StaleHeartbeatIgnored]++
	case copied:
		h.Observed[DuplicateHeartbeatApplied]++
	case !authority && outcome == leader.HeartbeatApplied:
		h.Observed[HeartbeatInGracePeriod]++
	}
}

// respond brings the answer back to the worker, if it still waits and can be reached.
func (h *agentHeartbeat) respond(target *node, a wire.HeartbeatResponse) {
	m := h.agent
	unreachable := h.zonePartitioned(target.zone, m.Machine.Zone) || h.now.Before(m.partitionedUntil) || h.now.Before(m.responsesLostUntil) || h.now.Before(m.hungUntil)
	if h.settled || m.ended || unreachable {
		return
	}
	h.settled = true
	m.inFlight = false
	m.HandleHeartbeatResponse(h.now, h.sentAt, h.message.AgentEpoch, a)
}

func (h *agentHeartbeat) giveUp() {
	if !h.settled {
		h.settled = true
		h.agent.inFlight = false
		h.tryNextNode(h.agent)
	}
}

// linkDelay is the time that a message between a worker and a node takes.
func (sim *Simulation) linkDelay() time.Duration {
	if sim.now.Before(sim.slowLinksUntil) {
		return sim.between(200, 1800)
	}
	return sim.between(1, 50)
}

// leaderReachableFrom finds the node whose controller answers a request at target.
func (sim *Simulation) leaderReachableFrom(target *node, entitled func(*node) bool) *node {
	if !target.up {
		return nil
	}
	if target.leader != nil && entitled(target) {
		return target
	}
	var best *node
	for _, n := range sim.nodes {
		pair := [2]int{min(n.id, target.id), max(n.id, target.id)}
		if n.up && !sim.now.Before(n.frozenUntil) && n.leader != nil && entitled(n) && !sim.partitionedPairs[pair] && !sim.zonePartitioned(n.zone, target.zone) && (best == nil || n.leadership.Term > best.leadership.Term) {
			best = n
		}
	}
	return best
}

// heartbeatHandler finds the node that answers a worker at target.
func (sim *Simulation) heartbeatHandler(target *node) *node {
	grace := leader.GracePeriod(sim.Params.Workers)
	return sim.leaderReachableFrom(target, func(n *node) bool { return n.leadership.InGracePeriod(sim.clock(n), grace) })
}

// leaderFor finds the node that answers a user at target.
func (sim *Simulation) leaderFor(target *node) *node {
	return sim.leaderReachableFrom(target, func(n *node) bool { return n.leadership.HoldsLease(sim.clock(n)) })
}
