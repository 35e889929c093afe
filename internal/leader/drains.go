package leader

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/drainer"
)

// newDrainer returns the term's drainer.
func (l *Leader) newDrainer() *drainer.Drainer {
	c := drainer.Config{
		Term:        l.term,
		Budgets:     l.operator.Drains,
		Teams:       l.params.Teams,
		Zones:       l.params.Zones,
		MaxMachines: l.operator.MaxMachines,
		ValueLimit:  l.valueLimit(),
		LeaseTime:   l.timing.LeaseExpiry,
		LeaseS:      l.params.Workers.LeaseS,
	}
	return drainer.New(l.log, c, drainer.Cluster{
		Machines:      l.machines,
		Catalogue:     l.catalogue,
		Writes:        l.writes,
		Scaler:        l.scaler,
		Job:           l.jobs.Get,
		RunnableJobs:  l.jobs.Runnable,
		TeamUsedCPUs:  l.ledger.UsedCPUs,
		AcceptsWork:   l.acceptsWork,
		RemainingS:    l.remaining,
		MachinesKnown: l.machinesKnown,
		ListsComplete: func() bool { return l.lists.complete },
		Blocked:       l.drainsBlocked,
		ScheduleCall:  l.calls.schedule,
		RequestPass:   func() { l.changed = true },
	})
}

// HandleDrainRequest carries out an operator's request; then is called with the answer once what it
// says is durable. wall is the time of day.
func (l *Leader) HandleDrainRequest(now, wall time.Time, q *drain.Request, then func(drain.Response)) {
	l.drainer.Handle(now, wall, q, then)
}

// AdvanceDrains takes the next step of the drain that runs; wall is the time of day. Only a
// leader that may act calls it.
func (l *Leader) AdvanceDrains(now, wall time.Time) { l.drainer.Advance(now, wall) }

// drainsBlocked is why no batch may begin now whatever machines there are, "" if one may.
func (l *Leader) drainsBlocked(now time.Time) drain.Cause {
	switch {
	case !l.lists.complete || now.Before(l.timing.InheritedUntil):
		return drain.BlockedByNewLeader
	case l.admission.shedding():
		return drain.BlockedByOverload
	case l.reachability.IsIsolated() || l.reachability.AnyPartitioned(now):
		return drain.BlockedByPartition
	}
	return ""
}
