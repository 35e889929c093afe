package leader

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/drainer"
)

// newDrainer returns the term's drainer.
func (l *Leader) newDrainer() *drainer.Drainer {
	c := drainer.Config{
		Term:                       l.term,
		Budgets:                    l.operatorSettings.Drains,
		Teams:                      l.params.Teams,
		Zones:                      l.params.Zones,
		MaxMachines:                l.operatorSettings.MaxMachines,
		MaxValueBytes:              l.maxValueBytes(),
		LeaseCertainlyExpiredAfter: l.timing.LeaseCertainlyExpiredAfter,
		LeaseDurationS:             l.params.Workers.LeaseS,
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
		MachinesAndTypesKnown: l.machinesAndTypesKnown,
		HasCurrentMachineList: func() bool { return l.machineLists.hasCurrent },
		BatchBlockedCause:     l.batchBlockedCause,
		QueueDirectCall:       l.directCalls.enqueue,
		RequestSchedulingPass: func() { l.schedulingPassRequested = true },
	})
}

// HandleDrainRequest executes an operator's request about drains. It calls respond when the state
// in the response is durable. wall is the wall-clock time of now.
func (l *Leader) HandleDrainRequest(now, wall time.Time, request *drain.Request, respond func(drain.Response)) {
	l.drainer.Handle(now, wall, request, respond)
}

// AdvanceDrains executes the next step of the running drain. It must be called only while the
// leader holds the leader lease. wall is the wall-clock time of now.
func (l *Leader) AdvanceDrains(now, wall time.Time) { l.drainer.RunStepIfDue(now, wall) }

// batchBlockedCause returns why no batch of any drain may begin now, or "" if a batch may begin.
func (l *Leader) batchBlockedCause(now time.Time) drain.Cause {
	switch {
	case !l.machineLists.hasCurrent || now.Before(l.timing.InheritedTasksEnd):
		return drain.BlockedByLeaderStartup
	case l.admission.isShedding():
		return drain.BlockedByOverload
	case l.partitionDetector.IsIsolated() || l.partitionDetector.AnyPartitioned(now):
		return drain.BlockedByPartition
	}
	return ""
}
