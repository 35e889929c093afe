package simulation

import (
	"slices"
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
	sentAt time.Time
}

// callAgent sends a leader's direct call to an agent. The call may arrive minutes late.
func (n *node) callAgent(l *leader.Leader, call *leader.DirectCall) {
	sim := n.sim
	sim.fail(sim.Invariants.CheckCommands(sim.now, call.Request.Commands))
	sim.trace(boundaryAgentCall, n, call.Machine, call.Addr, call.Request)
	c := &agentCall{n, l, call, sim.fleet.agents[call.Machine], sim.now}
	if c.agent != nil {
		c.agent.recordCall(c)
	}
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
	sim.after(c.agent.timeUntilReachable()+sim.between(0, maxLateCallDelayMS), func() { c.deliverCopy(c.agent) })
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
	a.answered = true
	sim.copies.answered(directCallRequest, c.node, func() { c.deliverCopy(a) })
	c.reportOutcome(sim.between(1, 100), leader.DirectCallReplied, heartbeat)
}

const (
	// maxLateCallDelayMS is the maximum delay of an unanswered direct call to the agent that it was sent
	// to, in milliseconds, after the agent can be reached again.
	maxLateCallDelayMS = 60_000
	// maxCopyDelayToNewAgent is the maximum delay of a direct call to an agent that has replaced the one
	// that it was sent to.
	maxCopyDelayToNewAgent = 16 * time.Second
	// copiedToNewAgentShare is the share of the recent direct calls to a machine that reach its new agent
	// after a restart.
	copiedToNewAgentShare = 0.5
)

// recordCall records a direct call to the agent, and drops those whose copies can't arrive any more.
func (a *agentProcess) recordCall(c *agentCall) {
	a.recentCalls = append(slices.DeleteFunc(a.recentCalls, (*agentCall).isTooOldForNewAgent), c)
}

// isTooOldForNewAgent reports whether the call can't reach a new agent any more.
func (c *agentCall) isTooOldForNewAgent() bool {
	return c.node.sim.now.Sub(c.sentAt) >= maxCopyDelayToNewAgent
}

// copyRecentCalls makes a share of the recent direct calls to an agent that has ended reach agents that
// replace it. An agent is replaced only once the machine has restarted, so some of the copies are lost.
func (a *agentProcess) copyRecentCalls() {
	for _, c := range a.recentCalls {
		if left := c.sentAt.Add(maxCopyDelayToNewAgent).Sub(a.sim.now); left > 0 && a.sim.chance(copiedToNewAgentShare) {
			a.sim.after(a.sim.between(0, int(left.Milliseconds())), func() { c.deliverToNewAgent(a) })
		}
	}
}

// deliverCopy delivers the call late or once more, without a reply, to the agent that it was sent to.
func (c *agentCall) deliverCopy(a *agentProcess) {
	if c.node.sim.fleet.agents[c.call.Machine] == a {
		c.deliver(a)
	}
}

// deliverToNewAgent delivers the call, without a reply, to an agent that has replaced the one that it was
// sent to.
//
// One case is left out, which no controller can prevent: the new agent has got no answer from a leader,
// so it has seen no fencing token ("0 at first"), and executes each start for its first epoch. A
// task that was not on the machine any more when it restarted may be on another one by then.
// TestNoControllerCanRefuseACopyForAnUnansweredAgent shows this case.
func (c *agentCall) deliverToNewAgent(former *agentProcess) {
	sim := c.node.sim
	a := sim.fleet.agents[c.call.Machine]
	if a == nil || a == former || !a.answered && c.startsTaskNotIn(a.tasksBefore) {
		return
	}
	sim.Observed[DirectCallToNewAgent]++
	c.deliver(a)
}

// startsTaskNotIn reports whether the call starts a task that is not among the given ones.
func (c *agentCall) startsTaskNotIn(tasks map[string]bool) bool {
	return slices.ContainsFunc(c.call.Request.Commands, func(command wire.Command) bool {
		return command.Op == wire.OpStart && !tasks[command.Task]
	})
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
