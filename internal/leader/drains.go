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
		Budgets:     l.operatorSettings.Drains,
		Teams:       l.params.Teams,
		Zones:       l.params.Zones,
		MaxMachines: l.operatorSettings.MaxMachines,
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
		MachinesKnown:         l.machinesAndTypesKnown,
		HasCurrentMachineList: func() bool { return l.machineLists.hasCurrent },
		BatchBlockedCause:     l.drainsBlocked,
		QueueDirectCall:       l.directCalls.enqueue,
		RequestSchedulingPass: func() { l.schedulingPassRequested = true },
	})
}

// HandleDrainRequest executes an operator's request. It calls respond when the state that the
// response reports is durable. wall is the wall-clock time.
func (l *Leader) HandleDrainRequest(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	l.drainer.Handle(now, wall, request, respond)
}

// AdvanceDrains executes the next step of the running drain. It must be called only while the
// leader has authority. wall is the wall-clock time.
func (l *Leader) AdvanceDrains(now, wall time.Time) { l.drainer.Advance(now, wall) }

// drainsBlocked returns why no batch of any drain may begin now, or "" if one may.
func (l *Leader) drainsBlocked(now time.Time) drain.Cause {
	switch {
	case !l.machineLists.hasCurrent || now.Before(l.timing.InheritedTasksEnd):
		return drain.BlockedByNewLeader
	case l.admission.shedding():
		return drain.BlockedByOverload
	case l.reachability.IsIsolated() || l.reachability.AnyPartitioned(now):
		return drain.BlockedByPartition
	}
	return ""
}
