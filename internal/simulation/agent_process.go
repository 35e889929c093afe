package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// fleet holds the agents of all machines that have booted, and the faults of their heartbeats.
type fleet struct {
	agents               map[string]*agentProcess // by machine
	heartbeatsDuplicated messageFault
	heartbeatsReplayed   messageFault
	// replays holds functions that deliver copies of heartbeats when the next term starts.
	replays []func(*node)
}

// agentProcess is an agent with its connection to the controllers.
type agentProcess struct {
	*Agent
	sim             *Simulation
	nodeIndex       int // index of the node to which it sends its heartbeats
	inFlight        bool
	lastHeartbeatAt time.Time
	nextHeartbeatAt time.Time
	ended           bool

	partitionedUntil    time.Time // no message to or from it is delivered
	responsesLostUntil  time.Time // its heartbeats arrive, responses and commands do not
	heartbeatsLostUntil time.Time // its heartbeats are lost, direct calls arrive
	hungUntil           time.Time // it does nothing
}

// agentNames returns the sorted names of the machines with agents.
func (sim *Simulation) agentNames() []string {
	var names []string
	for _, id := range sim.Cloud.MachineNames() {
		if sim.fleet.agents[id] != nil {
			names = append(names, id)
		}
	}
	return names
}

// advanceAgents advances all agents that don't hang to the present time, and returns all agents.
func (sim *Simulation) advanceAgents() []*Agent {
	var agents []*Agent
	for _, id := range sim.agentNames() {
		a := sim.fleet.agents[id]
		if sim.now.After(a.hungUntil) {
			a.Advance(sim.now)
		}
		agents = append(agents, a.Agent)
	}
	return agents
}

// startAgent starts the agent of a machine that has booted.
func (sim *Simulation) startAgent(machine *cloudMachine) {
	lease := seconds.Duration(sim.Params.Workers.LeaseS)
	a := &agentProcess{Agent: NewAgent(sim.now, machine.ListedMachine, sim.Cloud.Type, lease), sim: sim}
	a.LookUpJob = func(id string) *wire.Job { return sim.clients.jobs[id] }
	a.RunTime = func(job *wire.Job) time.Duration { return seconds.Duration(job.EstimateS * (0.5 + sim.rng.Float64())) }
	a.OnStop = func(task *Task, saves bool) { sim.recordStop(a, task, saves) }
	a.FailsJob = func(id string) bool { return sim.clients.failing[id] }
	a.Faulty = sim.faultsAllowed() && sim.chance(0.05)
	a.nodeIndex = sim.rng.IntN(len(sim.nodes))
	sim.fleet.agents[a.ID] = a
	a.heartbeatLoop()
}

// needsAgent reports whether a machine still exists and has no agent.
func (sim *Simulation) needsAgent(machine *cloudMachine) bool {
	return sim.Cloud.machines[machine.Name] == machine && sim.fleet.agents[machine.Name] == nil
}

// end ends the agent with all its tasks.
func (a *agentProcess) end() {
	a.ended = true
	delete(a.sim.fleet.agents, a.ID)
}

// replace ends the agent and starts a new one without its state on the same machine.
func (a *agentProcess) replace() {
	machine := a.sim.Cloud.machines[a.ID]
	a.end()
	a.sim.after(a.sim.between(50, 3000), func() {
		if machine != nil && a.sim.needsAgent(machine) {
			a.sim.startAgent(machine)
		}
	})
}

// reachableFrom reports whether the agent receives and handles a message from a zone.
func (a *agentProcess) reachableFrom(zone string) bool {
	now := a.sim.now
	affected := now.Before(a.partitionedUntil) || now.Before(a.responsesLostUntil) || now.Before(a.hungUntil)
	return !affected && !a.sim.network.zonesPartitioned(zone, a.Machine.Zone)
}

// timeUntilReachable returns the time until the last fault that blocks messages to the agent ends.
func (a *agentProcess) timeUntilReachable() time.Duration {
	now := a.sim.now
	return max(a.partitionedUntil.Sub(now), a.responsesLostUntil.Sub(now), a.hungUntil.Sub(now),
		a.sim.network.partitionedZoneUntil.Sub(now), 0)
}
