package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Timing holds the timeouts and points in time by which the state of machines is determined.
type Timing struct {
	// HeartbeatTimeout is the time without a heartbeat after which a machine counts as
	// unreachable.
	HeartbeatTimeout time.Duration
	// LeaseDuration is how long an agent keeps running its tasks without a response to its heartbeats.
	LeaseDuration time.Duration
	// LeaseExpiry is the time after a response at which the agent's lease has expired for
	// certain.
	LeaseExpiry time.Duration
	// TermStart is when the term began.
	TermStart time.Time
	// InheritedTasksEnd is when every task that an earlier leader may have started has ended, on
	// machines that have not reported in this term.
	InheritedTasksEnd time.Time
}

// HeartbeatOverdue reports whether no heartbeat was applied within the heartbeat timeout.
func (m *Machine) HeartbeatOverdue(now time.Time, t *Timing) bool {
	return m.SinceHeartbeat(now) > t.HeartbeatTimeout
}

// IsUnreachable reports whether a machine that has joined has sent no heartbeat within the
// timeout. It is false until the term has lasted that long: machines may not have reported yet.
func (m *Machine) IsUnreachable(now time.Time, t *Timing) bool {
	return m.joined && m.HeartbeatOverdue(now, t) && now.Sub(t.TermStart) > t.HeartbeatTimeout
}

// HasLeaseExpired reports whether the lease has expired for certain, so that all tasks of the
// machine have ended.
func (m *Machine) HasLeaseExpired(now time.Time, t *Timing) bool {
	if m.IsCordonedFor(CordonAgentReplaced) || !m.reconciled && now.Before(t.InheritedTasksEnd) {
		return false
	}
	return m.leaseRenewedAt.IsZero() || now.Sub(m.leaseRenewedAt) > t.LeaseExpiry
}

// LeaseExpiresAt is when the machine's lease has expired for certain if no heartbeat renews it.
func (m *Machine) LeaseExpiresAt(t *Timing) time.Time {
	if !m.reconciled {
		return t.InheritedTasksEnd
	}
	return m.leaseRenewedAt.Add(t.LeaseExpiry)
}

// ExpireSession marks the agent's current session as expired: its messages are stale from now on.
func (m *Machine) ExpireSession() { m.expiredEpoch = m.epoch }

// IsSchedulable reports whether new tasks may be assigned to the machine.
func (m *Machine) IsSchedulable(now time.Time, t *Timing) bool {
	return m.joined && m.reconciled && !m.releasing && !m.IsCordoned() &&
		m.total.CPUs > 0 && !now.Before(m.fullUntil) && !m.HeartbeatOverdue(now, t)
}

// RequireRelease sets the time by which the machine has to be released.
func (m *Machine) RequireRelease(by time.Time) { m.releaseBy = by }

// IsReleaseRequired reports whether RequireRelease has set a time.
func (m *Machine) IsReleaseRequired() bool { return !m.releaseBy.IsZero() }

// minMissingFromCloudLists is the number of cloud lists in a row that have to lack an unreachable
// machine before it is released.
const minMissingFromCloudLists = 2

// ShouldBeReleased reports whether the machine can't or shouldn't run tasks any more: it has
// failed, has not booted in time, is unreachable or no longer gets responses, or is empty and
// cordoned for release. bootTimeS is the usual boot time of its type, 0 if unknown.
func (m *Machine) ShouldBeReleased(now time.Time, t *Timing, bootTimeS float64) bool {
	switch {
	case m.failed, m.IsCordonedFor(CordonAgentReplaced), m.IsReleaseRequired() && now.After(m.releaseBy):
		return true
	case !m.joined:
		return bootTimeS > 0 && now.Sub(m.provisionedAt).Seconds() > bootTimeS*tuning.BootTimeoutFactor
	case m.HeartbeatOverdue(now, t) && m.missingFromCloudLists >= minMissingFromCloudLists:
		return true
	case !m.responsesLostSince.IsZero() && now.Sub(m.responsesLostSince) > t.LeaseExpiry*3/2:
		// Nothing can be sent to it, and its tasks ended with its lease.
		return true
	case m.neverReconciled(now, t):
		// Its heartbeats never carry this term's token, so it doesn't get our responses. Only
		// its release proves that the tasks it may run have ended.
		return true
	case m.staleHeartbeats >= tuning.MaxStaleHeartbeats && m.HasLeaseExpired(now, t) && now.Sub(m.staleSince) > t.HeartbeatTimeout:
		// Every heartbeat is older than the newest one. They are either late duplicates, or come
		// from a new agent that counts its epochs from the start again. The two can't be told
		// apart, and a new agent must not pass for the old one, so the machine is replaced.
		return true
	case len(m.attempts) == 0 && m.IsCordonedFor(ReleaseWhenEmptyReasons):
		return true
	}
	newest := m.heartbeatAt
	if newest.IsZero() {
		newest = t.TermStart
	}
	return now.Sub(newest) > t.LeaseExpiry+tuning.UnreachableReleaseDelay
}

// neverReconciled reports whether the machine has sent heartbeats in this term for longer than
// the lease expiry and the release delay together, none of them with the term's token.
func (m *Machine) neverReconciled(now time.Time, t *Timing) bool {
	return !m.reconciled && !m.firstHeartbeatAt.IsZero() && now.After(t.InheritedTasksEnd) &&
		now.Sub(m.firstHeartbeatAt) > t.LeaseExpiry+tuning.UnreachableReleaseDelay
}
