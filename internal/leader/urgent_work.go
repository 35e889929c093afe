package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
)

// hasUrgentWork reports whether an unreachable machine may have work that would be
// late once its lease has expired, but not if it could start elsewhere now: the
// release proves that the work has ended. Most gaps in heartbeats outlast the lease, and then
// the work on the machine is lost in any case. A new leader would wait longest, as its
// predecessor may be partitioned with the machine and still respond to it.
func (l *Leader) hasUrgentWork(now time.Time, m *machines.Machine) bool {
	if m.IsReleasing() || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	ends := m.LeaseExpiresAt(&l.timing)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		slack, ok := l.runTimes.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < ends.Sub(now).Seconds() && a.ShouldRun()
	})
}
