// Package leader holds the scheduling state of one leader term and decides what to start, stop,
// provision and release. It combines the packages for jobs, machines, placement, preemption,
// consolidation, scaling, drains and stored records. It does no I/O and reads no clock: callers
// pass in the time, requests, heartbeats and the results of calls, and execute the writes, cloud
// calls and commands that the package returns. Callers must serialize access.
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
	log              zerolog.Logger
	params           config.Params
	operatorSettings config.OperatorSettings
	term             uint64
	attemptCount     uint64 // attempt numbers assigned so far
	timing           machines.Timing

	// Stored records: their loading and their writes.
	writes   *records.WriteQueues
	startLog *startlog.Log // start records
	loading  loadState

	// Jobs.
	jobs               *jobs.Registry
	graph              *jobs.DependencyGraph
	admission          *admissionControl
	pendingCompletions jobs.PendingCompletions
	runTimes           jobs.RunTimeRatios // correct the estimates of jobs
	startDelay         jobs.StartDelay    // usual time between the placement of a task and its start

	// Machines.
	machines       *machines.Registry
	catalogue      *machines.Catalogue // machine types
	ledger         *allocation.Ledger  // quotas of the teams, and what their attempts use
	directCalls    directCalls
	machineLists   machineLists
	taskListNumber uint64 // number of task lists applied so far, which numbers the newest one
	reachability   *machines.Reachability

	// Decisions.
	passTimes               passTimes
	schedulingPassRequested bool // something that may allow new placements has changed since the last pass
	scoredPairs             int  // pairs of job and machine scored so far
	preemptor               *preemption.Preemptor
	consolidator            *consolidation.Consolidator
	scaler                  *scaling.Scaler
	drainer                 *drainer.Drainer
}

// passTimes holds the times of scheduling passes and of the last check for expired leases.
type passTimes struct {
	lastPass         time.Time
	earliestNextPass time.Time // earliest time of the next pass
	lastExpiryCheck  time.Time
}

// New returns an empty state for a term that begins at now. grace is the grace period, in which a
// leader that can't reach the key-value store still responds to heartbeats.
func New(log zerolog.Logger, params config.Params, operator config.OperatorSettings, term uint64, now time.Time, grace time.Duration) *Leader {
	l := &Leader{
		log:                log,
		params:             params,
		operatorSettings:   operator,
		term:               term,
		jobs:               jobs.NewRegistry(),
		admission:          newAdmissionControl(&params, &operator, term, now),
		pendingCompletions: jobs.PendingCompletions{},
		ledger:             allocation.NewLedger(params.Teams),
		runTimes:           jobs.RunTimeRatios{},
		machines:           machines.NewRegistry(),
		catalogue:          machines.NewCatalogue(),
		timing:             newTiming(params.Workers, now, grace),
		loading:            loadState{pieces: records.JobPieces{}, attempts: map[taskKey]*machines.Attempt{}},
		reachability:       machines.NewReachability(),
	}
	l.graph = jobs.NewDependencyGraph(l.jobs, l.chainedJobDuration)
	l.writes = records.NewWriteQueues(log, l.valueLimit())
	l.startLog = startlog.New(term, l.valueLimit(), l.writes, startlog.Callbacks{OnDurable: l.allowStart, OnRefused: l.abandonStart})
	l.scaler = l.newScaler()
	l.drainer = l.newDrainer()
	l.preemptor, l.consolidator = l.newPreemptor(), l.newConsolidator()
	return l
}

// Term returns the term of this state.
func (l *Leader) Term() uint64 { return l.term }

// MachineTypesKnown reports whether the machine types are known. Until then, every submission is
// rejected.
func (l *Leader) MachineTypesKnown() bool { return l.catalogue.HasAnyType() }

// nextAttemptNumber returns a new attempt number. The term in its upper 32 bits makes it differ
// from the numbers assigned by other leaders.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attemptCount++
	return l.term<<32 | l.attemptCount
}

// EndTerm ends the term: all waiting requests get a response with status 503.
func (l *Leader) EndTerm() {
	for _, j := range l.jobs.Sorted() { // sorted, so that simulated runs are reproducible
		j.NotifyWaiters(false) // no decision became durable in this term
	}
}
