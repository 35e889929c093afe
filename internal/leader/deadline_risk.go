package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
)

// hasDeadlineAtRisk reports whether an unreachable machine should be released at once, because a
// task that may be on it would miss its deadline if the leader waited for the machine's lease to
// expire. The release proves that the task has ended, so the task can start elsewhere at once. The
// release costs little: when heartbeats stop, usually none arrives before the lease expires, and
// then the task is lost in any case. After a change of leader the wait would be longest, because
// the predecessor may be in the same network partition as the machine and still respond to its
// heartbeats.
func (l *Leader) hasDeadlineAtRisk(now time.Time, m *machines.Machine) bool {
	if m.IsBeingReleased() || !m.IsUnreachable(now, &l.timing) {
		return false
	}
	leaseExpiry := m.LeaseExpiresAt(&l.timing)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		slack, ok := l.runTimes.DeadlineSlack(now, a.Job, l.params.Objectives)
		return ok && slack < leaseExpiry.Sub(now).Seconds() && a.ShouldRun()
	})
}
