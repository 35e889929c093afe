package leader

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/preemption"
)

// newPreemptor returns the term's preemptor.
func (l *Leader) newPreemptor() *preemption.Preemptor {
	return preemption.New(preemption.Cluster{
		Machines:       l.machines,
		IsSchedulable:  l.acceptsWork,
		RemainingS:     l.remaining,
		UnfinishedJobs: l.jobs.Runnable,
		FetchGBPerS:    func(machineType string) float64 { return l.catalogue.Type(machineType).FetchGBPerS },
		TeamFreeCPUs:   l.ledger.FreeCPUs,
		OnStop:         l.calls.schedule,
	})
}

// preempt makes capacity for tasks that found none.
func (l *Leader) preempt(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) {
	if n := l.preemptor.Run(now, ready, byID); n > 0 {
		l.log.Debug().Int("tasks", n).Msg("tasks preempted")
	}
}
