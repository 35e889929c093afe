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
	// answered is set once a leader has responded to a heartbeat, or called the agent directly.
	answered bool
	// tasksBefore are the tasks that the machine had when its earlier agent ended, by name.
	tasksBefore map[string]bool
	recentCalls []*agentCall // direct calls to this agent and its predecessors that may be copied

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

// failedShare is the share of attempts that fail while any faults may occur.
const failedShare = 0.04

// startAgent starts the agent of a machine that has booted.
func (sim *Simulation) startAgent(machine *cloudMachine) *agentProcess {
	lease := seconds.Duration(sim.Params.Workers.LeaseS)
	a := &agentProcess{Agent: NewAgent(sim.now, machine.ListedMachine, sim.Cloud.Type, lease), sim: sim}
	a.LookUpJob = func(id string) *wire.Job { return sim.clients.jobs[id] }
	a.RunTime = func(job *wire.Job) time.Duration { return seconds.Duration(job.EstimateS * (0.5 + sim.rng.Float64())) }
	a.OnStop = func(task *Task, saves bool) { sim.recordStop(a, task, saves) }
	a.FailsJob = func(id string) bool { return sim.clients.failing[id] }
	a.DrawFailure = func() bool { return sim.faultsAllowed() && sim.chance(failedShare) }
	a.Faulty = sim.faultsAllowed() && sim.chance(0.05)
	a.nodeIndex = sim.rng.IntN(len(sim.nodes))
	sim.fleet.agents[a.ID] = a
	a.heartbeatLoop()
	return a
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

// replace ends the agent and starts a new one on the same machine, which has only the images and results
// of the earlier one. Faults of the machine's connections go on. Some machines restart twice.
func (a *agentProcess) replace() {
	sim, machine := a.sim, a.sim.Cloud.machines[a.ID]
	a.end()
	a.copyRecentCalls()
	sim.after(sim.between(50, 3000), func() {
		if machine == nil || !sim.needsAgent(machine) {
			return
		}
		successor := sim.startAgent(machine)
		successor.CachedImages, successor.Completed = a.CachedImages, a.Completed
		successor.tasksBefore, successor.recentCalls = a.taskNames(), a.recentCalls
		successor.partitionedUntil, successor.responsesLostUntil, successor.heartbeatsLostUntil = a.partitionedUntil, a.responsesLostUntil, a.heartbeatsLostUntil
		if sim.chance(replacedAgainShare) {
			sim.after(sim.between(50, 8000), func() {
				if !successor.ended {
					successor.replace()
				}
			})
		}
	})
}

// replacedAgainShare is the share of replaced agents that are soon replaced once more.
const replacedAgainShare = 0.3

// taskNames returns the names of the tasks on the machine that have not exited.
func (a *agentProcess) taskNames() map[string]bool {
	names := map[string]bool{}
	for _, t := range a.Tasks {
		if t.State != wire.TaskExited {
			names[t.Name] = true
		}
	}
	return names
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
