package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// Simulation plays users, workers, cloud and state service against a few
// controllers in simulated time, with faults drawn from a seed.
type Simulation struct {
	Invariants *InvariantChecker
	Store      *KeyValueStore
	Cloud      *Cloud
	Params     config.Params
	// Operator are the operators' settings of all nodes.
	Operator config.Operator
	// LimitWriteRate lets the leader keep to the write budget of the settings; without it the
	// state service takes whatever comes.
	LimitWriteRate bool
	// FaultRate is how often faults begin, 0 for never.
	FaultRate float64

	rng              *rand.Rand
	now              time.Time
	start            time.Time
	pending          events
	seq              int
	nodes            []*node
	agents           map[string]*agentProcess
	uploadedJobs     map[string]*wire.Job
	failure          error
	partitionedPairs map[[2]int]bool // pairs of nodes that can't reach each other
	faultsEnd        time.Time       // no new fault after
	storeSlowUntil   time.Time       // the state service is slow until then
	// VersionFlipRate is how often a process that ends comes back with the other version.
	VersionFlipRate float64
	// A zone is cut off from everything until then; inside it goes on.
	partitionedZone      string
	partitionedZoneUntil time.Time

	submittedJobs                                                               []*wire.Job     // as submitted
	failingJobs                                                                 map[string]bool // jobs that fail on every machine
	pollStormUntil                                                              time.Time       // users ask many times as often
	storeDownUntil                                                              time.Time       // the state service
	followUpsUntil                                                              time.Time
	followedUp                                                                  map[string]bool // news at which users have looked closely
	writeResponsesLost, writesDelayed, heartbeatsDuplicated, heartbeatsReplayed messageFault
	// heartbeatsForNextLeader are copies of reports for the next leader.
	heartbeatsForNextLeader []func(*node)
	// links are slow until then.
	slowLinksUntil time.Time
	drainChecker   *DrainBudgetChecker
	// OnCharge, OnEviction and OnRelease, if set, are called as a charge is stored, a worker stops a
	// task of a drained machine, and the cloud has released machines.
	OnCharge, OnEviction, OnRelease func()
	digest                          traceDigest
	// Observed counts what has happened, by name: a test of a overlap of faults that did not
	// come about would show nothing.
	Observed map[Observation]int
}

// maxFaultOverrun is how long the last faults may outlast the end of fault injection.
const maxFaultOverrun = 90 * time.Second

// New returns a world with the given number of controllers.
func New(seed uint64, nodes int, p config.Params, t wire.MachineType) *Simulation {
	start := time.Unix(1_700_000_000, 0)
	w := &Simulation{
		Invariants:       NewInvariantChecker(p.Teams, time.Duration(p.Workers.CancelDeadlineS*float64(time.Second))),
		Store:            NewKeyValueStore(),
		Cloud:            NewCloud(t, 4),
		Params:           p,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              start,
		start:            start,
		agents:           map[string]*agentProcess{},
		uploadedJobs:     map[string]*wire.Job{},
		partitionedPairs: map[[2]int]bool{},
		followedUp:       map[string]bool{},
		failingJobs:      map[string]bool{},
		Observed:         map[Observation]int{},
		digest:           newTraceDigest(),
	}
	w.Store.OnCommit = w.transactionCommitted
	for i := range nodes {
		n := &node{id: i, name: fmt.Sprintf("node-%d", i), zone: t.Zones[i%len(t.Zones)], up: true, drift: (w.rng.Float64() - 0.5) * 0.001}
		w.nodes = append(w.nodes, n)
		n.peerOffers = map[string]admission.NodeOffers{}
		w.after(w.between(0, 100), func() { w.electionStep(n, n.incarnation) })
	}
	return w
}

func (sim *Simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.pending, &event{sim.now.Add(d), sim.seq, do})
}

// onNode does something on a node after a time: on one that stands still, once it
// goes on. What it had decided before is sent then.
func (sim *Simulation) onNode(n *node, d time.Duration, do func()) {
	sim.after(d, func() {
		if sim.now.Before(n.frozenUntil) {
			sim.onNode(n, n.frozenUntil.Sub(sim.now), do)
			return
		}
		do()
	})
}

// zonePartitioned reports whether a partitioned zone lies between two places.
func (sim *Simulation) zonePartitioned(a, b string) bool {
	return sim.now.Before(sim.partitionedZoneUntil) && a != b && (a == sim.partitionedZone || b == sim.partitionedZone)
}

// between draws a duration in milliseconds.
func (sim *Simulation) between(from, to int) time.Duration {
	return time.Duration(from+sim.rng.IntN(to-from+1)) * time.Millisecond
}

func (sim *Simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// clock is the node's steady clock.
func (sim *Simulation) clock(n *node) time.Time {
	passed := sim.now.Sub(sim.start)
	return sim.start.Add(passed + time.Duration(float64(passed)*n.drift))
}

// Run plays for d; the first broken rule ends it. No fault begins after
// faultsEnd.
func (sim *Simulation) Run(d, faultsFor time.Duration) error {
	sim.faultsEnd = sim.start.Add(faultsFor)
	sim.after(faultsFor, sim.finishUpgrade)
	end := sim.start.Add(d)
	for sim.pending.Len() > 0 && sim.failure == nil {
		e := heap.Pop(&sim.pending).(*event)
		if e.at.After(end) {
			break
		}
		sim.now = e.at
		sim.Store.Advance(sim.now)
		var ws []*Agent
		for _, id := range sim.agentNames() {
			m := sim.agents[id]
			if sim.now.After(m.hungUntil) {
				m.Advance(sim.now)
			}
			ws = append(ws, m.Agent)
		}
		e.do()
		if sim.failure == nil {
			sim.failure = sim.Invariants.CheckTasks(sim.now, ws)
		}
		if sim.failure == nil {
			sim.failure = sim.checkDrains(ws)
		}
		if settled := sim.faultsEnd.Add(maxFaultOverrun); sim.failure == nil && sim.now.After(settled) {
			if sim.failure = sim.Invariants.CheckJobsAnswered(sim.now, settled); sim.failure == nil {
				sim.failure = sim.Invariants.CheckNoStarvation(sim.now, ws)
			}
		}
	}
	if sim.failure != nil {
		return fmt.Errorf("after %v: %w", sim.now.Sub(sim.start), sim.failure)
	}
	return nil
}

// The state service, seen from a node: requests may be lost, be late by
// minutes, or be carried out and their answer lost.

func (sim *Simulation) faultsAllowed() bool {
	return sim.FaultRate > 0 && sim.now.Before(sim.faultsEnd)
}
