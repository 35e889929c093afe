package placement

import (
	"cmp"
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// urgencyStep is the urgency in the steps that divide queues.
func (j *PendingJob) urgencyStep() float64 { return math.Floor(j.Urgency / tuning.UrgencyStepS) }

// compareQueues orders the queues of jobs: aged ones, then by priority, those
// within their team's guarantee before borrowers, then by urgency. Among the
// jobs of one queue, for which it is 0, the speedup decides.
func compareQueues(a, b *PendingJob) int {
	return cmp.Or(
		cmp.Compare(b.AgedS, a.AgedS),
		cmp.Compare(a.PriorityRank, b.PriorityRank),
		boolRank(b.WithinGuarantee)-boolRank(a.WithinGuarantee),
		cmp.Compare(a.urgencyStep(), b.urgencyStep()),
	)
}

// boolRank orders false before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
