// Package leader holds the state of one term and makes the decisions in it. It connects jobs,
// machines, placement, preemption, consolidation, scaling, drains and durable records. It does
// no I/O and reads no clock: the caller passes in the time, requests, heartbeats and outcomes,
// and carries out the writes, cloud calls and commands that the package returns. Callers must
// serialize access.
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

// Leader is the state of one term. It is not safe for concurrent use.
type Leader struct {
	log          zerolog.Logger
	params       config.Params
	operator     config.OperatorSettings
	term         uint64
	attemptCount uint64 // attempt numbers assigned so far
	timing       machines.Timing

	// Durable state and its writes.
	writes   *records.WriteQueues
	startLog *startlog.Log
	loading  loadState

	// Jobs.
	jobs               *jobs.Registry
	graph              *jobs.DependencyGraph
	admission          *admissionControl
	unsavedCompletions jobs.UnsavedCompletions
	runTimes           jobs.RunTimeRatios
	startDelay         jobs.StartDelay

	// Machines.
	machines       *machines.Registry
	catalogue      *machines.Catalogue
	ledger         *allocation.Ledger
	directCalls    directCalls
	machineLists   machineLists
	taskListNumber uint64 // number of the last task list applied
	reachability   *machines.Reachability

	// Decisions.
	passTimes     passTimes
	passRequested bool // something has changed since the last pass
	scoredPairs   int  // pairs of job and machine scored so far, for logs
	preemptor     *preemption.Preemptor
	consolidator  *consolidation.Consolidator
	scaler        *scaling.Scaler
	drainer       *drainer.Drainer
}

// passTimes holds the times of scheduling passes and of checks for expired leases.
type passTimes struct {
	last            time.Time
	earliestNext    time.Time // earliest time of the next pass
	lastExpiryCheck time.Time
}

// New returns an empty state for a term that begins at now. grace is how long a leader that
// can't reach the key-value store keeps responding to heartbeats.
func New(log zerolog.Logger, p config.Params, o config.OperatorSettings, term uint64, now time.Time, grace time.Duration) *Leader {
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
		loading:            loadState{pieces: records.JobPieces{}, attempts: map[taskKey]*machines.Attempt{}},
		reachability:       machines.NewReachability(),
	}
	l.graph = jobs.NewDependencyGraph(l.jobs, l.stageDuration)
	l.writes = records.NewWriteQueues(log, l.valueLimit())
	l.startLog = startlog.New(term, l.valueLimit(), l.writes, startlog.Callbacks{OnDurable: l.allowStart, OnRefused: l.abandonStart})
	l.scaler = l.newScaler()
	l.drainer = l.newDrainer()
	l.preemptor, l.consolidator = l.newPreemptor(), l.newConsolidator()
	return l
}

// Term returns the term of this state.
func (l *Leader) Term() uint64 { return l.term }

// CatalogueKnown reports whether the machine types are known. No submission can be accepted
// before that.
func (l *Leader) CatalogueKnown() bool { return l.catalogue.HasAnyType() }

// nextAttemptNumber returns a new attempt number. The term in its upper 32 bits makes it differ
// from the numbers assigned by other leaders.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attemptCount++
	return l.term<<32 | l.attemptCount
}

// Stop ends the term: all waiting requests get a response with status 503.
func (l *Leader) Stop() {
	for _, j := range l.jobs.Sorted() { // sorted, so that simulated runs are reproducible
		j.NotifyWaiters(false)
	}
}
