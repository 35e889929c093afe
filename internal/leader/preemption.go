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
		Machines:        l.machines,
		IsSchedulable:   l.isSchedulable,
		RemainingS:      l.remainingS,
		RunnableJobs:    l.jobs.Runnable,
		FetchGBPerS:     func(machineType string) float64 { return l.catalogue.Type(machineType).FetchGBPerS },
		TeamFreeCPUs:    l.ledger.FreeCPUs,
		OnStopRequested: l.directCalls.enqueue,
	})
}

// preempt stops running tasks to free capacity for ready tasks that could not be placed.
func (l *Leader) preempt(now time.Time, ready []*placement.PendingJob, byID map[string]*jobs.Job) {
	if n := l.preemptor.Run(now, ready, byID); n > 0 {
		l.log.Debug().Int("tasks", n).Msg("tasks preempted")
	}
}
