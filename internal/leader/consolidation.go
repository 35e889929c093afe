package leader

import (
	"time"

	"switchshore.example/switchshore/internal/consolidation"
)

// newConsolidator returns the term's consolidator.
func (l *Leader) newConsolidator() *consolidation.Consolidator {
	return consolidation.New(consolidation.Cluster{
		Machines:         l.machines,
		IsSchedulable:    l.isSchedulable,
		RunnableJobs:     l.jobs.RunnableByAge,
		Price:            l.catalogue.Price,
		RemainingS:       l.remainingS,
		OnStopsRequested: l.directCalls.enqueue,
	})
}

// consolidate cordons machines whose tasks fit on others and stops these tasks, so that the
// machines can be released.
func (l *Leader) consolidate(now time.Time) {
	if n := l.consolidator.Run(now); n > 0 {
		l.log.Debug().Int("machines", n).Msg("consolidating machines")
	}
}
