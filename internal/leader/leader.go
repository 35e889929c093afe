// Package leader is the state of one term and connects the parts that decide on it: jobs,
// machines, placement, preemption, consolidation, scaling, drains and durable records. It
// does no I/O and reads no clock: time, requests, heartbeats and outcomes are passed in, and
// what has to be written, provisioned or sent is returned. Callers serialise access.
package leader

import (
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/allocation"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/consolidation"
	"switchshore.example/switchshore/internal/drainer"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/preemption"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/startlog"
)

// Leader is the state of one term. It connects the parts that own what belongs together.
type Leader struct {
	log      zerolog.Logger
	params   config.Params
	operator config.Operator
	term     uint64
	attempts uint64 // numbers given so far
	timing   machines.Timing

	// What is durable, and how it gets there.
	writes  *records.WriteQueues
	starts  *startlog.Log
	loading loading

	// Jobs.
	jobs               *jobs.Registry
	graph              *jobs.DependencyGraph
	admission          *admissionControl
	unsavedCompletions jobs.UnsavedCompletions
	runTimes           jobs.RunTimeRatios
	startDelay         jobs.StartDelay

	// Machines.
	machines     *machines.Registry
	catalogue    *machines.Catalogue
	ledger       *allocation.Ledger
	calls        directCalls
	lists        machineLists
	listNumber   uint64 // number of task lists applied
	reachability *machines.Reachability

	// Decisions.
	passes       passTimes
	changed      bool // since the last pass
	scores       int  // pairs of job and machine scored, for the logs
	preemptor    *preemption.Preemptor
	consolidator *consolidation.Consolidator
	scaler       *scaling.Scaler
	drainer      *drainer.Drainer
}

// passTimes are the times of scheduling passes and of looking for expired leases.
type passTimes struct {
	last       time.Time
	next       time.Time // no sooner
	lastExpiry time.Time
}

// New returns an empty state for a term won at now. grace is how long a
// leader without the key-value store goes on answering heartbeats.
func New(log zerolog.Logger, p config.Params, o config.Operator, term uint64, now time.Time, grace time.Duration) *Leader {
	l := &Leader{
		log:                log,
		params:             p,
		operator:           o,
		term:               term,
		jobs:               jobs.NewRegistry(),
		admission:          newAdmissionControl(&p, &o, term, now),
		unsavedCompletions: jobs.UnsavedCompletions{},
		ledger:             allocation.NewLedger(p.Teams),
		runTimes:           jobs.RunTimeRatios{},
		machines:           machines.NewRegistry(),
		catalogue:          machines.NewCatalogue(),
		timing:             newTiming(p.Workers, now, grace),
		loading:            loading{pieces: records.JobPieces{}, attempts: map[taskKey]*machines.Attempt{}},
		reachability:       machines.NewReachability(),
	}
	l.graph = jobs.NewDependencyGraph(l.jobs, l.stageTime)
	l.writes = records.NewWriteQueues(log, l.valueLimit())
	l.starts = startlog.New(term, l.valueLimit(), l.writes, startlog.Callbacks{OnDurable: l.sendStart, OnRefused: l.abandonStart})
	l.scaler = l.newScaler()
	l.drainer = l.newDrainer()
	l.preemptor, l.consolidator = l.newPreemptor(), l.newConsolidator()
	return l
}

// Term is the term of this state.
func (l *Leader) Term() uint64 { return l.term }

// CatalogueKnown reports whether submissions can be decided: the machine types are known.
func (l *Leader) CatalogueKnown() bool { return l.catalogue.HasTypes() }

// nextAttempt returns the number of another attempt: the term keeps it from being one that
// another leader has given.
func (l *Leader) nextAttempt() uint64 {
	l.attempts++
	return l.term<<32 | l.attempts
}

// Stop ends the term: all waiting requests are answered that nothing is decided.
func (l *Leader) Stop() {
	for _, j := range l.jobs.Sorted() { // in the order of IDs, so that a simulated run repeats
		j.NotifyWaiters(false)
	}
}
