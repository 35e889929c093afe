package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// agentCall is a leader's direct call to an agent.
type agentCall struct {
	node   *node
	leader *leader.Leader
	call   *leader.DirectCall
	agent  *agentProcess // the agent at the time of the call
}

// callAgent sends a leader's direct call to an agent. The call may arrive minutes late.
func (n *node) callAgent(l *leader.Leader, call *leader.DirectCall) {
	sim := n.sim
	sim.fail(sim.Invariants.CheckCommands(sim.now, call.Request.Commands))
	sim.trace(boundaryAgentCall, n, call.Machine, call.Addr, call.Request)
	c := &agentCall{n, l, call, sim.fleet.agents[call.Machine]}
	switch {
	case c.agent == nil:
		c.reportOutcome(tuning.DirectCallTimeout, leader.DirectCallNotDelivered, nil)
	case !c.agent.reachableFrom(n.zone) || sim.faultsAllowed() && sim.chance(0.05):
		c.timeOut()
	default:
		n.after(sim.between(1, 20), c.execute)
	}
}

// timeOut makes the call fail: it is either not delivered, or delivered late without a reply.
func (c *agentCall) timeOut() {
	sim := c.node.sim
	if sim.chance(0.3) {
		c.reportOutcome(tuning.DirectCallTimeout, leader.DirectCallNotDelivered, nil)
		return
	}
	sim.after(c.agent.timeUntilReachable()+sim.between(0, 60_000), func() { c.deliverCopy(c.agent) })
	c.reportOutcome(tuning.DirectCallTimeout, leader.DirectCallUncertain, nil)
}

// execute delivers the call to the machine's current agent and returns its heartbeat to the leader.
func (c *agentCall) execute() {
	sim := c.node.sim
	a := sim.fleet.agents[c.call.Machine]
	if a == nil {
		c.reportOutcome(tuning.DirectCallTimeout, leader.DirectCallUncertain, nil)
		return
	}
	heartbeat := c.deliver(a)
	sim.copies.answered(directCallRequest, c.node, func() { c.deliverCopy(a) })
	c.reportOutcome(sim.between(1, 100), leader.DirectCallReplied, heartbeat)
}

// deliverCopy delivers the call to an agent late or once more, without a reply. The connection ends with
// its agent, so a new agent on the machine never receives the commands.
func (c *agentCall) deliverCopy(a *agentProcess) {
	if c.node.sim.fleet.agents[c.call.Machine] == a {
		c.deliver(a)
	}
}

// deliver makes an agent execute the commands and returns its next heartbeat.
func (c *agentCall) deliver(a *agentProcess) *wire.Heartbeat {
	a.HandleCommandRequest(a.sim.now, c.call.Request)
	return a.NextHeartbeat()
}

// reportOutcome passes the outcome to the leader after a delay, if it still leads.
func (c *agentCall) reportOutcome(delay time.Duration, outcome leader.DirectCallOutcome, heartbeat *wire.Heartbeat) {
	c.node.after(delay, func() {
		if c.node.leader == c.leader {
			c.leader.FinishDirectCall(c.node.clock(), c.call, outcome, heartbeat)
		}
	})
}
