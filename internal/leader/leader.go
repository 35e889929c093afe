// Package leader is the leader's view of jobs, tasks and machines and
// all decisions about them. It does no I/O and reads no clock: time, requests,
// reports and outcomes are passed in, and what has to be written, rented or
// sent comes out. Callers serialise access.
package leader

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/consolidation"
	"switchshore.example/switchshore/internal/drainer"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/preemption"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/startlog"
	"switchshore.example/switchshore/internal/tuning"
)

// Leader is the state of one term. It connects the parts that own what belongs together.
type Leader struct {
	log      zerolog.Logger
	params   config.Params
	operator config.Operator
	term     uint64
	attempts uint64 // numbers given so far

	// inheritedUntil is when every task that a predecessor may have left on a
	// machine unheard in this term is gone.
	inheritedUntil time.Time
	started        time.Time

	jobs   *jobs.Registry
	active int // unfinished tasks, for the memory bound
	// activeByTeam are the same by team.
	activeByTeam map[string]int
	// regulator decides on new jobs under overload; nil if that is off.
	regulator         *admission.Regulator
	admissionSettings *admission.Settings
	// live are the unfinished jobs that need no other any more.
	live               map[*jobs.Job]struct{}
	unsavedCompletions map[*jobs.Job]time.Time // jobs with unwritten completions, since when
	teams              map[string]*team
	runTimes           jobs.RunTimes
	startDelay         jobs.StartDelay

	machines   *machines.Registry
	catalogue  *machines.Catalogue
	listNumber uint64 // number of task lists applied
	lists      machineLists
	changed    bool // since the last pass
	scores     int  // pairs of job and machine looked at, for the logs

	// partitionedZones are those that seem to be cut off, until then.
	partitionedZones map[string]time.Time
	// isolated: this node seems to have lost most machines.
	isolated bool

	writes  *records.WriteQueues
	starts  *startlog.Log
	loading loading

	graph        *jobs.DependencyGraph
	calls        directCalls
	passes       passTimes
	scaler       *scaling.Scaler
	drainer      *drainer.Drainer
	preemptor    *preemption.Preemptor
	consolidator *consolidation.Consolidator
}

// passTimes are the times of scheduling passes and of looking for expired leases.
type passTimes struct {
	last       time.Time
	next       time.Time // no sooner
	lastExpiry time.Time
}

type team struct {
	config.Team
	used placement.Resources // of all tasks that may be on a machine
}

// New returns an empty state for a term won at now. grace is how long a
// leader without the state service goes on answering reports.
func New(log zerolog.Logger, p config.Params, o config.Operator, term uint64, now time.Time, grace time.Duration) *Leader {
	c := &Leader{
		log:                log,
		params:             p,
		operator:           o,
		term:               term,
		started:            now,
		jobs:               jobs.NewRegistry(),
		live:               map[*jobs.Job]struct{}{},
		activeByTeam:       map[string]int{},
		unsavedCompletions: map[*jobs.Job]time.Time{},
		teams:              map[string]*team{},
		runTimes:           jobs.RunTimes{},
		machines:           machines.NewRegistry(),
		catalogue:          machines.NewCatalogue(),
		loading:            loading{pieces: records.JobPieces{}, attempts: map[taskKey]*machines.Attempt{}},
		partitionedZones:   map[string]time.Time{},
	}
	c.graph = jobs.NewDependencyGraph(c.jobs, c.stageTime)
	c.writes = records.NewWriteQueues(log, c.valueLimit())
	for _, t := range p.Teams {
		c.teams[t.Name] = &team{Team: withLimits(t)}
	}
	c.starts = startlog.New(term, c.valueLimit(), c.writes, startlog.Callbacks{Durable: c.sendStart, Refused: c.abandonStart})
	c.scaler = c.newScaler()
	c.drainer = c.newDrainer()
	c.preemptor, c.consolidator = c.newPreemptor(), c.newConsolidator()
	c.setUpAdmission(&o, now)
	// A predecessor's last answer comes at the latest a grace after its
	// authority, which ended before now; the worker's lease runs from the
	// sending of the report answered.
	c.inheritedUntil = now.Add(grace + c.leaseTime())
	return c
}

// withLimits returns a team with the limits that its settings stand for.
func withLimits(t config.Team) config.Team {
	if t.CPUsMax == 0 && t.GPUsMax == 0 {
		// "A value of 0 means none": a guest without a guarantee and without a
		// limit, not one that may use nothing.
		t.CPUsMax, t.GPUsMax = math.Inf(1), math.Inf(1)
	}
	return t
}

// GracePeriod is how long a leader without the state service goes on answering
// reports: as long as possible, with a worker's lease on top still within
// the time for cancellations.
func GracePeriod(w config.Workers) time.Duration {
	return max(0, min(seconds(w.LeaseS), seconds(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

// lateStartBound is how long after the end of a job a machine may still be
// answered on which a start of that job may come late: the rest of its lease ends
// within the time for cancellations, with the same reserve, and with its session
// the start is void, even if nobody can release the machine.
func lateStartBound(w config.Workers) time.Duration {
	return max(0, min(seconds(w.CancelDeadlineS)/tuning.FencingDivisor, seconds(w.CancelDeadlineS-w.LeaseS)-tuning.GracePeriodReserve))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// leaseTime is the time after which a worker's lease has provably run out.
func (l *Leader) leaseTime() time.Duration {
	return seconds(l.params.Workers.LeaseS*(1+tuning.ClockDrift)) + tuning.LeaseExpiryMargin
}

// Term is the term of this state.
func (l *Leader) Term() uint64 { return l.term }

// CatalogueKnown reports whether submissions can be decided: the machine types are known.
func (l *Leader) CatalogueKnown() bool { return l.catalogue.Known() }

// nextAttempt returns the number of another attempt: the term keeps it from being one that
// another leader has given.
func (l *Leader) nextAttempt() uint64 {
	l.attempts++
	return l.term<<32 | l.attempts
}

// Stop ends the term: everyone waiting is told that nothing is decided.
func (l *Leader) Stop() {
	l.jobs.Each(func(j *jobs.Job) { j.NotifyWaiters(false) })
}
