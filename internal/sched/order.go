package sched

import (
	"cmp"
	"math"

	"switchshore.example/switchshore/internal/tuning"
)

// step is the line of a job by urgency.
func (r *Ready) step() float64 { return math.Floor(r.Urgency / tuning.UrgencyStep) }

// compareLines orders the lines of jobs: aged ones, then by level, those within
// their team's guarantee before borrowers, then by urgency. Among the jobs of
// one line the speedup decides.
func compareLines(a, b *Ready) int {
	return cmp.Or(
		cmp.Compare(b.AgedS, a.AgedS),
		cmp.Compare(a.Level, b.Level),
		yes(b.Guaranteed)-yes(a.Guaranteed),
		cmp.Compare(a.step(), b.step()),
	)
}

func yes(b bool) int {
	if b {
		return 1
	}
	return 0
}
