package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
)

// hasDeadlineAtRisk reports whether a machine is unreachable and a task that may be on it would miss
// its deadline if the leader waited for the machine's lease to expire. Such a machine should be
// released at once: the release proves that the task has ended, so the task can start elsewhere.
// The release costs little, because a machine whose heartbeats stop usually sends none before its
// lease expires, and then the task is lost in any case. The wait would be longest after a change of
// leader: the predecessor may be in the same network partition as the machine and still respond to
// its heartbeats.
func (l *Leader) hasDeadlineAtRisk(now time.Time, m *machines.Machine) bool {
	if m.IsBeingReleased() || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	leaseExpiry := m.LeaseExpiresAt(&l.timing)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		slack, ok := l.runTimeRatios.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < leaseExpiry.Sub(now).Seconds() && a.ShouldRun()
	})
}
