// Package leader holds the scheduling state of one leader term and decides what to start, stop,
// provision and release. It combines the packages for jobs, machines, placement, preemption,
// consolidation, scaling, drains and stored records. It does no I/O and reads no clock: callers
// pass in the time, requests, heartbeats and the results of calls. They execute the writes and cloud
// calls, and send the commands, that the package returns. Callers must serialize access.
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
	fencingTokens    fencingTokens
	attemptCount     uint64 // attempt numbers assigned so far
	timing           machines.Timing

	// Stored records: their loading and their writes.
	writes   *records.WriteQueues
	startLog *startlog.Log // durable records of the tasks to start, written before their starts are sent
	// completedStarts keeps the start records of completed tasks until the completions are durable.
	completedStarts completedStarts
	loading         loadState

	// Jobs.
	jobs                *jobs.Registry
	graph               *jobs.DependencyGraph
	admission           *admissionControl
	unqueuedCompletions jobs.UnqueuedCompletions // jobs with completions whose write is not queued yet
	runTimeRatios       jobs.RunTimeRatios       // ratio of observed to estimated run time, by job class
	startDelay          jobs.StartDelay          // usual time between the placement of a task and its start

	// Machines.
	machines          *machines.Registry
	catalogue         *machines.Catalogue         // machine types, including those no longer offered
	ledger            *allocation.Ledger          // quotas of the teams, and the CPUs allocated to their attempts
	directCalls       directCalls                 // commands sent to agents between their heartbeats
	failures          failureTracker              // failures of tasks, counted against machines or jobs
	verifier          agentVerifier               // tells the known agents from new ones on the same machines
	machineLists      machineLists                // state of the cloud's machine lists
	taskListNumber    uint64                      // number of task lists applied so far, and ID of the newest one
	partitionDetector *machines.PartitionDetector // zones that are probably partitioned from this node

	// Decisions.
	passTimes               passTimes
	schedulingPassRequested bool // a change since the last pass may allow new placements
	scoredPairs             int  // pairs of job and machine scored so far
	preemptor               *preemption.Preemptor
	consolidator            *consolidation.Consolidator
	scaler                  *scaling.Scaler
	drainer                 *drainer.Drainer
}

// passTimes holds the times of scheduling passes and of the last check for expired leases.
type passTimes struct {
	lastPass         time.Time
	earliestNextPass time.Time
	lastExpiryCheck  time.Time
}

// New returns an empty state for a term that begins at now. gracePeriod is how long a leader that
// can't reach the key-value store still responds to heartbeats.
func New(log zerolog.Logger, params config.Params, operator config.OperatorSettings, term uint64, now time.Time, gracePeriod time.Duration) *Leader {
	l := &Leader{
		log:                 log,
		params:              params,
		operatorSettings:    operator,
		term:                term,
		fencingTokens:       newFencingTokens(term),
		jobs:                jobs.NewRegistry(),
		admission:           newAdmissionControl(&params, &operator, term, now),
		unqueuedCompletions: jobs.UnqueuedCompletions{},
		ledger:              allocation.NewLedger(params.Teams),
		runTimeRatios:       jobs.RunTimeRatios{},
		machines:            machines.NewRegistry(),
		catalogue:           machines.NewCatalogue(),
		timing:              newTiming(params.Workers, now, gracePeriod),
		loading:             loadState{jobPieces: records.JobPieces{}, newestAttempts: map[taskKey]*machines.Attempt{}},
		partitionDetector:   machines.NewPartitionDetector(),
	}
	l.directCalls = directCalls{machines: l.machines, timing: &l.timing, tokens: &l.fencingTokens, maxInFlight: DirectCallLimit(params.Limits)}
	l.failures = failureTracker{log: log, machines: l.machines}
	l.verifier = agentVerifier{log: log, calls: &l.directCalls}
	l.graph = jobs.NewDependencyGraph(l.jobs, l.dependentJobDuration)
	l.writes = records.NewWriteQueues(log, l.maxValueBytes())
	l.startLog = startlog.New(term, l.maxValueBytes(), l.writes, startlog.Callbacks{OnDurable: l.allowStart, OnRefused: l.abandonStart})
	l.completedStarts = newCompletedStarts(l.startLog)
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

// nextAttemptNumber returns a new attempt number. Its upper 32 bits contain the term, so that
// different leaders never assign the same number.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attemptCount++
	return l.term<<32 | l.attemptCount
}

// EndTerm ends the term. All requests that wait for a durable write get a response with status 503.
func (l *Leader) EndTerm() {
	for _, j := range l.jobs.Sorted() { // sorted, so that simulated runs are reproducible
		j.NotifyWaiters(false) // false: the decision did not become durable in this term
	}
}
