package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
)

// hasDeadlineAtRisk reports whether an unreachable machine may have work that would miss its
// deadline if it could start elsewhere only after the lease has expired. Releasing the machine
// proves that the work has ended, so that it can start elsewhere at once. Most gaps in
// heartbeats outlast the lease, and then the work on the machine is lost in any case. A new
// leader would have to wait longest, as its predecessor may be partitioned together with the
// machine and still respond to it.
func (l *Leader) hasDeadlineAtRisk(now time.Time, m *machines.Machine) bool {
	if m.IsBeingReleased() || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	ends := m.LeaseExpiresAt(&l.timing)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		slack, ok := l.runTimes.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < ends.Sub(now).Seconds() && a.ShouldRun()
	})
}
