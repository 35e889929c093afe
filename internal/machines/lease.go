package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Timing are the times by which the state of machines is judged.
type Timing struct {
	// HeartbeatTimeout is the time without a heartbeat after which a machine seems unreachable.
	HeartbeatTimeout time.Duration
	// Lease is how long an agent keeps its tasks without a response to its heartbeats.
	Lease time.Duration
	// LeaseExpiry is the time after a response at which the agent's lease has provably expired.
	LeaseExpiry time.Duration
	// TermStart is when the term began.
	TermStart time.Time
	// InheritedTasksEnd is when every task that a predecessor may have left on a
	// machine that has not reported in this term has ended.
	InheritedTasksEnd time.Time
}

// HeartbeatOverdue reports whether no heartbeat has come for long.
func (m *Machine) HeartbeatOverdue(now time.Time, t *Timing) bool {
	return m.SinceHeartbeat(now) > t.HeartbeatTimeout
}

// IsUnreachable reports whether no heartbeat of a machine known to be up has come for
// long, or not since this term began.
func (m *Machine) IsUnreachable(now time.Time, t *Timing) bool {
	return m.joined && m.HeartbeatOverdue(now, t) && now.Sub(t.TermStart) > t.HeartbeatTimeout
}

// LeaseExpired reports whether all that the machine may have run has provably ended.
func (m *Machine) LeaseExpired(now time.Time, t *Timing) bool {
	if m.CordonedFor(CordonAgentReplaced) || !m.reconciled && now.Before(t.InheritedTasksEnd) {
		return false
	}
	return m.leaseRenewedAt.IsZero() || now.Sub(m.leaseRenewedAt) > t.LeaseExpiry
}

// LeaseExpiresAt is when the machine's lease will have expired without another heartbeat.
func (m *Machine) LeaseExpiresAt(t *Timing) time.Time {
	if !m.reconciled {
		return t.InheritedTasksEnd
	}
	return m.leaseRenewedAt.Add(t.LeaseExpiry)
}

// ExpireSession notes that the agent's session is over.
func (m *Machine) ExpireSession() { m.expiredEpoch = m.epoch }

// IsSchedulable reports whether a machine takes new tasks.
func (m *Machine) IsSchedulable(now time.Time, t *Timing) bool {
	return m.joined && m.reconciled && !m.releasing && !m.Cordoned() &&
		m.total.CPUs > 0 && !now.Before(m.fullUntil) && !m.HeartbeatOverdue(now, t)
}

// RequireRelease has the machine released by the given time.
func (m *Machine) RequireRelease(by time.Time) { m.releaseBy = by }

// ReleaseRequired reports whether the machine has to be released by some time.
func (m *Machine) ReleaseRequired() bool { return !m.releaseBy.IsZero() }

// minMissedLists is how many lists in a row have to lack a machine that sends no heartbeats.
const minMissedLists = 2

// ShouldBeReleased reports whether a machine will do no more work: failed, never up,
// without heartbeats for long, or emptied for a drain. bootTimeS is how long machines of its
// type take to come up, 0 if that is not known.
func (m *Machine) ShouldBeReleased(now time.Time, t *Timing, bootTimeS float64) bool {
	switch {
	case m.failed, m.CordonedFor(CordonAgentReplaced), m.ReleaseRequired() && now.After(m.releaseBy):
		return true
	case !m.joined:
		return bootTimeS > 0 && now.Sub(m.provisionedAt).Seconds() > bootTimeS*tuning.BootTimeoutFactor
	case m.HeartbeatOverdue(now, t) && m.missedLists >= minMissedLists:
		return true
	case !m.responsesLostSince.IsZero() && now.Sub(m.responsesLostSince) > t.LeaseExpiry*3/2:
		// It can't be sent anything; its tasks ended with its lease.
		return true
	case m.neverReconciled(now, t):
		// It reports, but never with this term's token: it doesn't get our responses. Whatever
		// it may run waits for the release, which proves that it has ended.
		return true
	case m.staleHeartbeats >= tuning.MaxStaleHeartbeats && m.LeaseExpired(now, t) && now.Sub(m.staleSince) > t.HeartbeatTimeout:
		// Only heartbeats older than the newest: late copies, or a new agent that
		// began anew. It must not be taken for the old one, and can't be distinguished
		// from copies, so the machine is replaced.
		return true
	case len(m.attempts) == 0 && m.CordonedFor(ReleaseWhenEmptyReasons):
		return true
	}
	newest := m.heartbeatAt
	if newest.IsZero() {
		newest = t.TermStart
	}
	return now.Sub(newest) > t.LeaseExpiry+tuning.UnreachableReleaseDelay
}

// neverReconciled reports whether a machine has sent heartbeats for long in this term without
// having learned of the term.
func (m *Machine) neverReconciled(now time.Time, t *Timing) bool {
	return !m.reconciled && !m.firstHeartbeatAt.IsZero() && now.After(t.InheritedTasksEnd) &&
		now.Sub(m.firstHeartbeatAt) > t.LeaseExpiry+tuning.UnreachableReleaseDelay
}
