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

// World plays users, workers, cloud and state service against a few
// controllers in simulated time, with faults drawn from a seed.
type World struct {
	Rules  *Rules
	State  *State
	Cloud  *Cloud
	Params config.Params
	// Operator are the operators' settings of all nodes.
	Operator config.Operator
	// LimitWrites lets the leader keep to the write budget of the settings; without it the
	// state service takes whatever comes.
	LimitWrites bool
	// FaultRate is how often faults begin, 0 for never.
	FaultRate float64

	rng              *rand.Rand
	now              time.Time
	start            time.Time
	queue            events
	seq              int
	nodes            []*node
	workers          map[string]*worker
	jobs             map[string]*wire.Job
	err              error
	partitionedPairs map[[2]int]bool // pairs of nodes that can't reach each other
	faultsEnd        time.Time       // no new fault after
	stateSlowUntil   time.Time       // the state service is slow until then
	// VersionFlipRate is how often a process that ends comes back with the other version.
	VersionFlipRate float64
	// A zone is cut off from everything until then; inside it goes on.
	partitionedZone      string
	partitionedZoneUntil time.Time

	submittedJobs                                       []*wire.Job     // as submitted
	failingJobs                                         map[string]bool // jobs that fail on every machine
	pollStormUntil                                      time.Time       // users ask many times as often
	stateDownUntil                                      time.Time       // the state service
	followUpsUntil                                      time.Time
	followedUp                                          map[string]bool // news at which users have looked closely
	writesLost, writesLate, reportsLate, reportsForNext messageFault
	// copiesForNextLeader are copies of reports for the next leader.
	copiesForNextLeader []func(*node)
	// links are slow until then.
	slowLinksUntil time.Time
	drainWatch     *DrainWatch
	// OnCharge, OnEviction and OnRelease, if set, are called as a charge is stored, a worker stops a
	// task of a drained machine, and the cloud has released machines.
	OnCharge, OnEviction, OnRelease func()
	digest                          traceDigest
	// Observed counts what has happened, by name: a test of a overlap of faults that did not
	// come about would show nothing.
	Observed map[Observation]int
}

// longestFaultTail is how long the last faults may outlast the end of fault injection.
const longestFaultTail = 90 * time.Second

// NewWorld returns a world with the given number of controllers.
func NewWorld(seed uint64, nodes int, p config.Params, t wire.MachineType) *World {
	start := time.Unix(1_700_000_000, 0)
	w := &World{
		Rules:            NewRules(p.Teams, time.Duration(p.Workers.CancelDeadlineS*float64(time.Second))),
		State:            NewState(),
		Cloud:            NewCloud(t, 4),
		Params:           p,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              start,
		start:            start,
		workers:          map[string]*worker{},
		jobs:             map[string]*wire.Job{},
		partitionedPairs: map[[2]int]bool{},
		followedUp:       map[string]bool{},
		failingJobs:      map[string]bool{},
		Observed:         map[Observation]int{},
		digest:           newTraceDigest(),
	}
	w.State.Committed = w.noteCommit
	for i := range nodes {
		n := &node{id: i, name: fmt.Sprintf("node-%d", i), zone: t.Zones[i%len(t.Zones)], up: true, drift: (w.rng.Float64() - 0.5) * 0.001}
		w.nodes = append(w.nodes, n)
		n.heard = map[string]admission.NodeOffers{}
		w.after(w.between(0, 100), func() { w.nodeStep(n, n.incarnation) })
	}
	return w
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now.Add(d), w.seq, do})
}

// onNode does something on a node after a time: on one that stands still, once it
// goes on. What it had decided before is sent then.
func (w *World) onNode(n *node, d time.Duration, do func()) {
	w.after(d, func() {
		if w.now.Before(n.frozenUntil) {
			w.onNode(n, n.frozenUntil.Sub(w.now), do)
			return
		}
		do()
	})
}

// zonePartitioned reports whether a partitioned zone lies between two places.
func (w *World) zonePartitioned(a, b string) bool {
	return w.now.Before(w.partitionedZoneUntil) && a != b && (a == w.partitionedZone || b == w.partitionedZone)
}

// between draws a duration in milliseconds.
func (w *World) between(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// clock is the node's steady clock.
func (w *World) clock(n *node) time.Time {
	passed := w.now.Sub(w.start)
	return w.start.Add(passed + time.Duration(float64(passed)*n.drift))
}

// Run plays for d; the first broken rule ends it. No fault begins after
// faultsEnd.
func (w *World) Run(d, faultsFor time.Duration) error {
	w.faultsEnd = w.start.Add(faultsFor)
	w.after(faultsFor, w.finishUpgrade)
	end := w.start.Add(d)
	for w.queue.Len() > 0 && w.err == nil {
		e := heap.Pop(&w.queue).(*event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		w.State.Advance(w.now)
		var ws []*Worker
		for _, id := range w.workerNames() {
			m := w.workers[id]
			if w.now.After(m.hungUntil) {
				m.Advance(w.now)
			}
			ws = append(ws, m.Worker)
		}
		e.do()
		if w.err == nil {
			w.err = w.Rules.Check(w.now, ws)
		}
		if w.err == nil {
			w.err = w.checkDrains(ws)
		}
		if settled := w.faultsEnd.Add(longestFaultTail); w.err == nil && w.now.After(settled) {
			if w.err = w.Rules.Forgotten(w.now, settled); w.err == nil {
				w.err = w.Rules.LeftWaiting(w.now, ws)
			}
		}
	}
	if w.err != nil {
		return fmt.Errorf("after %v: %w", w.now.Sub(w.start), w.err)
	}
	return nil
}

// The state service, seen from a node: requests may be lost, be late by
// minutes, or be carried out and their answer lost.

func (w *World) faultsAllowed() bool { return w.FaultRate > 0 && w.now.Before(w.faultsEnd) }
