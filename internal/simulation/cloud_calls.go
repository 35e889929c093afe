package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// cloudCall is one attempt of a leader's call to provision or release machines.
type cloudCall struct {
	node        *node
	leader      *leader.Leader
	call        scaling.CloudCall
	provisioned []string
}

// callCloud sends a leader's call to the cloud and retries it until it gets a response. Like the real node, it
// sends nothing while the leader doesn't hold its lease.
func (n *node) callCloud(l *leader.Leader, call scaling.CloudCall) {
	sim := n.sim
	if !n.leadership.HoldsLease(n.clock()) {
		n.retryCloudCall(l, call, tuning.CloudRetryDelay)
		return
	}
	sim.trace(boundaryCloudCall, n, call.Op, call.Provision, call.Release)
	c := &cloudCall{node: n, leader: l, call: call}
	n.after(sim.between(50, 200), func() {
		if sim.network.zonesPartitioned(n.zone, noZone) || sim.faultsAllowed() && sim.chance(0.1) {
			c.timeOut()
			return
		}
		c.execute()
		sim.copies.answered(cloudRequest, n, c.executeCopy)
		n.after(sim.between(10, 100), c.respond)
	})
}

// timeOut makes the call get no response. The cloud may still execute it much later.
func (c *cloudCall) timeOut() {
	sim := c.node.sim
	if sim.chance(0.5) {
		sim.after(sim.between(0, 90_000), c.execute)
	}
	c.node.retryCloudCall(c.leader, c.call, tuning.CloudTimeout)
}

// retryCloudCall sends a call again after a delay, if its leader still leads.
func (n *node) retryCloudCall(l *leader.Leader, call scaling.CloudCall, delay time.Duration) {
	n.after(delay, func() {
		if n.leader == l {
			n.callCloud(l, call)
		}
	})
}

// execute executes the call in the cloud.
func (c *cloudCall) execute() {
	sim := c.node.sim
	if c.call.Op == scaling.CloudProvision {
		c.provisioned = sim.Cloud.Provision(sim.now, sim.rng, c.call.Provision)
		sim.scheduleBoots(c.provisioned)
		return
	}
	for _, id := range c.call.Release {
		sim.removeMachine(id)
	}
	if sim.OnRelease != nil {
		sim.OnRelease()
	}
}

// executeCopy executes a copy of the call in the cloud. Nobody waits for its response.
func (c *cloudCall) executeCopy() {
	sim := c.node.sim
	if c.call.Op == scaling.CloudProvision {
		sim.scheduleBoots(sim.Cloud.Provision(sim.now, sim.rng, c.call.Provision))
		return
	}
	for _, id := range c.call.Release {
		sim.removeMachine(id)
	}
}

// respond delivers the cloud's response to the leader, if it still leads.
func (c *cloudCall) respond() {
	if c.node.leader != c.leader {
		return
	}
	if c.call.Op == scaling.CloudProvision {
		c.leader.FinishProvision(c.node.clock(), c.call.Provision, c.provisioned)
		return
	}
	c.leader.FinishRelease(c.node.clock(), c.call.Release)
}

// listMachinesLoop reads the cloud's list of machines every few seconds.
func (n *node) listMachinesLoop(l *leader.Leader) {
	if n.leader != l {
		return
	}
	sim := n.sim
	sim.trace(boundaryCloudCall, n, "list")
	sent := n.clock()
	lag := seconds.Duration(sim.Params.Cloud.ListLagS * (0.5 + sim.rng.Float64()))
	machines := sim.Cloud.List(sim.now, lag)
	if !sim.network.zonesPartitioned(n.zone, noZone) {
		n.after(sim.between(20, 200), func() {
			if n.leader == l {
				l.ApplyMachineList(sent, n.clock(), machines)
			}
		})
	}
	n.after(sim.between(2000, 4000), func() { n.listMachinesLoop(l) })
}

// scheduleBoots starts the agents of new machines once they have booted.
func (sim *Simulation) scheduleBoots(names []string) {
	for _, id := range names {
		machine := sim.Cloud.machines[id]
		if machine == nil || sim.fleet.agents[id] != nil {
			continue
		}
		sim.after(max(0, machine.bootedAt.Sub(sim.now)), func() {
			if !sim.needsAgent(machine) {
				return
			}
			machine.State = wire.MachineRunning
			sim.startAgent(machine)
		})
	}
}

// removeMachine removes a machine and ends its agent.
func (sim *Simulation) removeMachine(id string) {
	delete(sim.Cloud.machines, id)
	if a := sim.fleet.agents[id]; a != nil {
		a.end()
	}
}

// MachinesInZone returns the number of machines that the cloud has in a zone.
func (sim *Simulation) MachinesInZone(zone string) int {
	count := 0
	for _, machine := range sim.Cloud.machines {
		if machine.Zone == zone {
			count++
		}
	}
	return count
}

// SlowDownBoots makes some of the machines that are provisioned within a time boot late or never.
func (sim *Simulation) SlowDownBoots(span time.Duration) {
	sim.Cloud.SlowBootsUntil = sim.now.Add(span)
}
