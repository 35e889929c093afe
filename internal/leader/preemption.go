package leader

import (
	"iter"
	"maps"
	"time"

	"switchshore.example/switchshore/internal/consolidation"
	"switchshore.example/switchshore/internal/preemption"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
)

// newPreemptor returns the term's preemptor.
func (l *Leader) newPreemptor() *preemption.Preemptor {
	return preemption.New(preemption.Cluster{
		Machines:     l.machinesAcceptingWork,
		RemainingS:   l.remaining,
		Unfinished:   func() iter.Seq[*jobs.Job] { return maps.Keys(l.live) },
		FetchGBPerS:  func(machineType string) float64 { return l.catalogue.Type(machineType).FetchGBPerS },
		TeamFreeCPUs: l.ledger.FreeCPUs,
		Stopped:      l.calls.schedule,
	})
}

// newConsolidator returns the term's consolidator.
func (l *Leader) newConsolidator() *consolidation.Consolidator {
	return consolidation.New(consolidation.Cluster{
		Machines:     l.machinesAcceptingWork,
		MachineCount: l.machines.Len,
		ActiveJobs:   l.activeJobs,
		Price:        l.catalogue.Price,
		RemainingS:   l.remaining,
		Emptied:      l.calls.schedule,
	})
}

// preempt makes capacity for tasks that found none.
func (l *Leader) preempt(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) {
	if n := l.preemptor.Run(now, ready, byID); n > 0 {
		l.log.Debug().Int("tasks", n).Msg("tasks preempted")
	}
}

// consolidate empties machines whose tasks fit elsewhere.
func (l *Leader) consolidate(now time.Time) {
	if n := l.consolidator.Run(now); n > 0 {
		l.log.Debug().Int("machines", n).Msg("consolidating machines")
	}
}

// machinesAcceptingWork are the machines that take work, in the order of their IDs.
func (l *Leader) machinesAcceptingWork(now time.Time) []*machines.Machine {
	var list []*machines.Machine
	for _, m := range l.machines.All() {
		if l.acceptsWork(now, m) {
			list = append(list, m)
		}
	}
	return list
}
