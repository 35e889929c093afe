package placement

import (
	"cmp"
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// urgencyBucket returns the urgency in whole units of tuning.UrgencyResolutionS.
func (j *PendingJob) urgencyBucket() float64 {
	return math.Floor(j.Urgency / tuning.UrgencyResolutionS)
}

// comparePrecedence orders jobs: aged jobs first, the longest waiting one at the
// head; then by priority; then jobs within their team's guarantee; then by urgency.
// Jobs that compare as equal form a group. Within a group, the tasks with the largest
// speedup, which is the score of their best machine, are placed first.
func comparePrecedence(a, b *PendingJob) int {
	return cmp.Or(
		cmp.Compare(b.AgedS, a.AgedS),
		cmp.Compare(a.PriorityRank, b.PriorityRank),
		boolToInt(b.WithinGuarantee)-boolToInt(a.WithinGuarantee), // true first
		cmp.Compare(a.urgencyBucket(), b.urgencyBucket()),
	)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
