package simulation

import (
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// Simulation runs clients, agents, a cloud and a key-value store against several controllers in
// simulated time, with random faults drawn from a seed.
type Simulation struct {
	Params config.Params
	// Operator holds the operators' settings of all nodes.
	Operator config.OperatorSettings
	// LimitWriteRate makes the leader limit its writes to its share of the key-value store's write
	// rate. The simulated store itself accepts any rate.
	LimitWriteRate bool

	Invariants *InvariantChecker
	Store      *KeyValueStore
	Cloud      *Cloud
	// Observed counts events by name, so that a test can require that the fault that it tests has
	// occurred.
	Observed map[Observation]int

	*eventLoop
	*clients
	*faultInjector
	*drainMonitor

	network   *network
	storeLink storeLink
	copies    *requestCopies
	// drainRequests is the number of operators' requests so far. It is the ID of the next one.
	drainRequests int
	nodes         []*node
	fleet         fleet
	digest        traceDigest
	failure       error // ends the run, for example a violation of an invariant
}

// cloudCapacity is the default number of machines that the cloud has of each offering.
const cloudCapacity = 4

// New returns a simulation with the given number of controllers and one machine type.
func New(seed uint64, nodes int, params config.Params, machineType wire.MachineType) *Simulation {
	loop := newEventLoop(seed)
	sim := &Simulation{
		Params:     params,
		Invariants: NewInvariantChecker(params.Teams, seconds.Duration(params.Workers.CancelDeadlineS)),
		Store:      NewKeyValueStore(),
		Cloud:      NewCloud(machineType, cloudCapacity),
		Observed:   map[Observation]int{},
		eventLoop:  loop,
		network:    newNetwork(loop),
		fleet:      fleet{agents: map[string]*agentProcess{}},
		digest:     newTraceDigest(),
	}
	sim.clients = newClients(sim)
	sim.copies = &requestCopies{sim: sim, afterCrash: map[*node][]func(){}}
	sim.faultInjector = &faultInjector{sim: sim}
	sim.drainMonitor = &drainMonitor{sim: sim}
	sim.Store.OnCommit = func(txn wire.Txn) {
		sim.recordTransaction(txn)
		sim.fail(sim.Invariants.CheckTransaction(txn))
	}
	for id := range nodes {
		n := newNode(sim, id, machineType.Zones[id%len(machineType.Zones)])
		sim.nodes = append(sim.nodes, n)
		sim.after(sim.between(0, 100), func() { n.electionStep(n.incarnation) })
	}
	return sim
}

// Run simulates a duration and returns the first violation of an invariant. Faults begin only
// during faultsFor from the start.
func (sim *Simulation) Run(duration, faultsFor time.Duration) error {
	sim.faultsEnd = sim.start.Add(faultsFor)
	sim.after(faultsFor, sim.finishUpgrade)
	end := sim.start.Add(duration)
	for sim.failure == nil {
		e := sim.next(end)
		if e == nil {
			return nil
		}
		sim.Store.Advance(sim.now)
		agents := sim.advanceAgents()
		e.run()
		sim.fail(sim.checkInvariants(agents))
	}
	return fmt.Errorf("after %v: %w", sim.elapsed(), sim.failure)
}

// checkInvariants checks the invariants after an event; agents are those that existed before the
// event.
func (sim *Simulation) checkInvariants(agents []*Agent) error {
	if sim.failure != nil {
		return nil
	}
	if err := sim.Invariants.CheckTasks(sim.now, agents); err != nil {
		return err
	}
	if err := sim.checkDrains(agents); err != nil {
		return err
	}
	faultsOverAt := sim.faultsEnd.Add(maxFaultOverrun)
	if !sim.now.After(faultsOverAt) {
		return nil
	}
	if err := sim.Invariants.CheckRequestsSucceed(sim.now, faultsOverAt); err != nil {
		return err
	}
	return sim.Invariants.CheckNoStarvation(sim.now, agents)
}

// fail records the first error, which ends the run.
func (sim *Simulation) fail(err error) {
	if sim.failure == nil {
		sim.failure = err
	}
}
