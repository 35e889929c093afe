package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

type agentProcess struct {
	*Agent
	targetNode          int
	inFlight            bool
	lastHeartbeatAt     time.Time
	nextHeartbeatAt     time.Time
	partitionedUntil    time.Time
	responsesLostUntil  time.Time // its reports arrive, answers and commands don't
	heartbeatsLostUntil time.Time // it reaches no controller, direct commands reach it
	hungUntil           time.Time
	ended               bool
}

func (sim *Simulation) agentNames() []string {
	var out []string
	for _, id := range sim.Cloud.Names() {
		if sim.agents[id] != nil {
			out = append(out, id)
		}
	}
	return out
}

func (sim *Simulation) callCloud(n *node, p *leader.Leader, call leader.CloudCall) {
	sim.trace(boundaryCloudCall, n, call.Op, call.Provision, call.Release)
	var names []string
	do := func() {
		if call.Op == leader.CloudProvision {
			names = sim.Cloud.Provision(sim.now, sim.rng, call.Provision)
			sim.scheduleBoots(names)
			return
		}
		for _, id := range call.Release {
			sim.removeMachine(id)
		}
		if sim.OnRelease != nil {
			sim.OnRelease()
		}
	}
	answer := func() {
		if n.leader != p {
			return
		}
		if call.Op == leader.CloudProvision {
			p.ProvisionDone(sim.clock(n), call.Provision, names)
		} else {
			p.ReleaseDone(sim.clock(n), call.Release)
		}
	}
	sim.onNode(n, sim.between(50, 200), func() {
		if sim.zonePartitioned(n.zone, "") || sim.faultsAllowed() && sim.chance(0.1) {
			// No answer: the request may come much later; it is repeated.
			if sim.chance(0.5) {
				sim.after(sim.between(0, 90_000), do)
			}
			sim.onNode(n, tuning.CloudTimeout, func() {
				if n.leader == p {
					sim.callCloud(n, p, call)
				}
			})
			return
		}
		do()
		sim.onNode(n, sim.between(10, 100), answer)
	})
}

// callAgent carries a direct call to a worker; it may come minutes late.
func (sim *Simulation) callAgent(n *node, p *leader.Leader, call *leader.DirectCall) {
	done := func(d time.Duration, o leader.DirectOutcome, r *wire.Heartbeat) {
		sim.onNode(n, d, func() {
			if n.leader == p {
				p.DirectCallDone(sim.clock(n), call, o, r)
			}
		})
	}
	if err := sim.Invariants.CheckCommands(sim.now, call.Request.Commands); err != nil && sim.failure == nil {
		sim.failure = err
	}
	sim.trace(boundaryAgentCall, n, call.Machine, call.Addr, call.Request)
	m := sim.agents[call.Machine]
	deliver := func(late bool) *wire.Heartbeat {
		to := sim.agents[call.Machine]
		if to == nil || late && to != m {
			// A connection ends with its worker: a new one gets no late command.
			return nil
		}
		to.HandleCommandRequest(sim.now, call.Request)
		return to.NextHeartbeat()
	}
	switch {
	case m == nil:
		done(tuning.DirectTimeout, leader.DirectNotDelivered, nil)
	case sim.zonePartitioned(n.zone, m.Machine.Zone) || sim.now.Before(m.partitionedUntil) || sim.now.Before(m.responsesLostUntil) || sim.now.Before(m.hungUntil) || sim.faultsAllowed() && sim.chance(0.05):
		if sim.chance(0.3) {
			done(tuning.DirectTimeout, leader.DirectNotDelivered, nil)
			return
		}
		late := max(m.partitionedUntil.Sub(sim.now), m.responsesLostUntil.Sub(sim.now), m.hungUntil.Sub(sim.now), sim.partitionedZoneUntil.Sub(sim.now), 0) + sim.between(0, 60_000)
		sim.after(late, func() { deliver(true) })
		done(tuning.DirectTimeout, leader.DirectUnknown, nil)
	default:
		sim.onNode(n, sim.between(1, 20), func() {
			if r := deliver(false); r != nil {
				done(sim.between(1, 100), leader.DirectAnswered, r)
			} else {
				done(tuning.DirectTimeout, leader.DirectUnknown, nil)
			}
		})
	}
}

func (sim *Simulation) listMachines(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	sim.trace(boundaryCloudCall, n, "list")
	asked := sim.clock(n)
	lag := time.Duration(sim.Params.Cloud.ListLagS * (0.5 + sim.rng.Float64()) * float64(time.Second))
	rows := sim.Cloud.List(sim.now, lag)
	if !sim.zonePartitioned(n.zone, "") {
		sim.onNode(n, sim.between(20, 200), func() {
			if n.leader == p {
				p.ApplyMachineList(asked, sim.clock(n), rows)
			}
		})
	}
	sim.onNode(n, sim.between(2000, 4000), func() { sim.listMachines(n, p) })
}

// scheduleBoots brings rented machines up when their time has come.
func (sim *Simulation) scheduleBoots(names []string) {
	for _, id := range names {
		row := sim.Cloud.machines[id]
		if row == nil || sim.agents[id] != nil {
			continue
		}
		sim.after(max(0, row.bootedAt.Sub(sim.now)), func() {
			if sim.Cloud.machines[id] != row || sim.agents[id] != nil {
				return
			}
			row.State = wire.MachineRunning
			sim.startAgent(row)
		})
	}
}

// startAgent starts the worker of a machine that is up.
func (sim *Simulation) startAgent(row *cloudMachine) *agentProcess {
	m := &agentProcess{Agent: NewAgent(sim.now, row.ListedMachine, sim.Cloud.Type, time.Duration(sim.Params.Workers.LeaseS*float64(time.Second)))}
	m.LookUpJob = func(id string) *wire.Job { return sim.uploadedJobs[id] }
	m.RunTime = func(j *wire.Job) time.Duration {
		return time.Duration(j.EstimateS * (0.5 + sim.rng.Float64()) * float64(time.Second))
	}
	m.OnStop = func(t *Task, saves bool) { sim.taskStopped(m, t, saves) }
	m.FailsJob = func(id string) bool { return sim.failingJobs[id] }
	m.Faulty = sim.faultsAllowed() && sim.chance(0.05)
	m.targetNode = sim.rng.IntN(len(sim.nodes))
	sim.agents[m.ID] = m
	sim.agentHeartbeatLoop(m)
	return m
}

// replaceAgent ends a machine's worker with all its tasks; a new one, which knows
// nothing, is there a moment later.
func (sim *Simulation) replaceAgent(m *agentProcess) {
	row := sim.Cloud.machines[m.ID]
	m.ended = true
	delete(sim.agents, m.ID)
	sim.after(sim.between(50, 3000), func() {
		if row != nil && sim.Cloud.machines[m.ID] == row && sim.agents[m.ID] == nil {
			sim.startAgent(row)
		}
	})
}

func (sim *Simulation) removeMachine(id string) {
	delete(sim.Cloud.machines, id)
	if m := sim.agents[id]; m != nil {
		m.ended = true
		delete(sim.agents, id)
	}
}
