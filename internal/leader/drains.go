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
		LeaseExpiry: l.timing.LeaseExpiry,
		LeaseS:      l.params.Workers.LeaseS,
	}
	return drainer.New(l.log, c, drainer.Cluster{
		Machines:              l.machines,
		Catalogue:             l.catalogue,
		Writes:                l.writes,
		Scaler:                l.scaler,
		Job:                   l.jobs.Get,
		RunnableJobs:          l.jobs.Runnable,
		TeamUsedCPUs:          l.ledger.UsedCPUs,
		IsSchedulable:         l.isSchedulable,
		RemainingS:            l.remainingS,
		MachinesKnown:         l.machinesKnown,
		HasCurrentMachineList: func() bool { return l.machineLists.current },
		BatchBlockedCause:     l.drainsBlocked,
		ScheduleCall:          l.directCalls.schedule,
		RequestSchedulingPass: func() { l.passRequested = true },
	})
}

// HandleDrainRequest carries out an operator's request and calls respond once what the response
// reports is durable. wall is the time of day.
func (l *Leader) HandleDrainRequest(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	l.drainer.Handle(now, wall, request, respond)
}

// AdvanceDrains carries out the next step of the running drain; wall is the time of day. It must
// be called only while the leader has authority.
func (l *Leader) AdvanceDrains(now, wall time.Time) { l.drainer.Advance(now, wall) }

// drainsBlocked returns why no batch may begin now on any machines, or "" if one may.
func (l *Leader) drainsBlocked(now time.Time) drain.Cause {
	switch {
	case !l.machineLists.current || now.Before(l.timing.InheritedTasksEnd):
		return drain.BlockedByNewLeader
	case l.admission.shedding():
		return drain.BlockedByOverload
	case l.reachability.IsIsolated() || l.reachability.AnyPartitioned(now):
		return drain.BlockedByPartition
	}
	return ""
}
