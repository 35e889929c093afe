package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Timing holds the timeouts and times that decide, for example, whether a machine counts as
// unreachable and whether its lease has expired.
type Timing struct {
	// HeartbeatTimeout is the time without a heartbeat after which a machine counts as
	// unreachable.
	HeartbeatTimeout time.Duration
	// LeaseDuration is how long an agent keeps running its tasks without a response to its
	// heartbeats.
	LeaseDuration time.Duration
	// LeaseCertainlyExpiredAfter is the time after a heartbeat at which the agent's lease has
	// expired for certain: LeaseDuration plus margins for clock errors and delays.
	LeaseCertainlyExpiredAfter time.Duration
	// TermStart is when the leader's term began.
	TermStart time.Time
	// InheritedTasksEnd is the time at which all tasks of earlier leaders have ended on machines
	// that have not been reconciled in this term.
	InheritedTasksEnd time.Time
}

// HeartbeatOverdue reports whether no heartbeat was applied within the heartbeat timeout.
func (m *Machine) HeartbeatOverdue(now time.Time, t *Timing) bool {
	return m.SinceHeartbeat(now) > t.HeartbeatTimeout
}

// IsUnreachable reports whether the machine has joined, but no heartbeat was applied within the
// heartbeat timeout. It is false until the term has lasted for that timeout, because before that
// the machine may not have had time for a heartbeat in this term.
func (m *Machine) IsUnreachable(now time.Time, t *Timing) bool {
	return m.joined && m.HeartbeatOverdue(now, t) && now.Sub(t.TermStart) > t.HeartbeatTimeout
}

// HasLeaseExpired reports whether the lease has expired for certain, and thus all tasks of the
// machine have ended. It is false if a new agent has replaced the earlier one: then only the release
// of the machine proves that no task runs there. A stale heartbeat may come from a new agent, whose
// first lease began before it was sent. It is also false before t.InheritedTasksEnd for a machine that
// is not reconciled, as tasks of earlier leaders may run there.
func (m *Machine) HasLeaseExpired(now time.Time, t *Timing) bool {
	if m.IsCordonedFor(CordonAgentReplaced) || !m.reconciled && now.Before(t.InheritedTasksEnd) {
		return false
	}
	return m.hasKnownLeaseExpired(now, t) && (m.lastStaleAt.IsZero() || now.Sub(m.lastStaleAt) > t.LeaseCertainlyExpiredAfter)
}

// isExpiryPostponed reports whether the lease of the known agent has expired for certain, but a stale
// heartbeat may come from a new agent, which may still run tasks. The release of the machine is then the
// sooner proof that they have ended.
func (m *Machine) isExpiryPostponed(now time.Time, t *Timing) bool {
	return m.reconciled && m.hasKnownLeaseExpired(now, t) && !m.HasLeaseExpired(now, t)
}

// hasKnownLeaseExpired reports whether the lease of the known agent has expired for certain.
func (m *Machine) hasKnownLeaseExpired(now time.Time, t *Timing) bool {
	return m.leaseRenewedAt.IsZero() || now.Sub(m.leaseRenewedAt) > t.LeaseCertainlyExpiredAfter
}

// LeaseExpiresAt returns the time at which the lease has expired for certain if no heartbeat
// renews it.
func (m *Machine) LeaseExpiresAt(t *Timing) time.Time {
	if !m.reconciled {
		return t.InheritedTasksEnd
	}
	return m.leaseRenewedAt.Add(t.LeaseCertainlyExpiredAfter)
}

// ExpireSession marks the agent's current session as expired. Its messages are stale from now on.
func (m *Machine) ExpireSession() { m.expiredEpoch = m.epoch }

// IsCapacity reports whether the machine counts as capacity: new tasks may be assigned to it now, or
// as soon as it has booted, has been reconciled, and has not refused a task for a few seconds.
func (m *Machine) IsCapacity(now time.Time, t *Timing) bool {
	return !m.releaseBegun && !m.IsCordoned() && (!m.joined || !m.HeartbeatOverdue(now, t))
}

// IsSchedulable reports whether new tasks may be assigned to the machine.
func (m *Machine) IsSchedulable(now time.Time, t *Timing) bool {
	return m.IsCapacity(now, t) && m.joined && m.reconciled && m.total.CPUs > 0 && !now.Before(m.backoffUntil)
}

// RequireRelease sets the time after which ShouldBeReleased returns true.
func (m *Machine) RequireRelease(by time.Time) { m.releaseBy = by }

// IsReleaseRequired reports whether RequireRelease has set a time.
func (m *Machine) IsReleaseRequired() bool { return !m.releaseBy.IsZero() }

// minMissingFromCloudLists is the number of successive cloud lists that must lack an unreachable
// machine before it is released.
const minMissingFromCloudLists = 2

// ShouldBeReleased reports whether the machine can't or shouldn't run tasks any more:
//   - the cloud lists it as failed, or it has not booted in time
//   - it has been unreachable for too long, or it is unreachable and missing from cloud lists
//   - it doesn't get responses, or its latest heartbeats are all stale
//   - it has attempts, and the known agent's lease has expired, but a new agent may be running
//   - a new agent has replaced the earlier one
//   - the time set by RequireRelease has passed
//   - it has no attempts and is cordoned for one of ReleaseWhenEmptyReasons
//
// bootTimeS is the usual boot time of the machine's type, 0 if unknown.
func (m *Machine) ShouldBeReleased(now time.Time, t *Timing, bootTimeS float64) bool {
	switch {
	case m.failed, m.IsCordonedFor(CordonAgentReplaced), m.IsReleaseRequired() && now.After(m.releaseBy):
		return true
	case !m.joined:
		return bootTimeS > 0 && now.Sub(m.provisionedAt).Seconds() > bootTimeS*tuning.BootTimeoutFactor
	case m.HeartbeatOverdue(now, t) && m.missingFromCloudLists >= minMissingFromCloudLists:
		return true
	case !m.responsesLostSince.IsZero() && now.Sub(m.responsesLostSince) > t.LeaseCertainlyExpiredAfter*3/2:
		// No commands can reach the machine, and its tasks ended when its lease expired.
		return true
	case m.neverReconciled(now, t):
		// Its heartbeats never carry this term's token, so it doesn't get this leader's
		// responses. Only its release proves that the tasks it may run have ended.
		return true
	case m.staleHeartbeats >= tuning.MaxStaleHeartbeats && m.hasKnownLeaseExpired(now, t) && (m.reconciled || !now.Before(t.InheritedTasksEnd)) && now.Sub(m.firstStaleAt) > t.HeartbeatTimeout:
		// The latest heartbeats are all stale. They are either delayed copies, or come from a
		// new agent that counts its epochs from the start again. The leader can't tell which, and
		// must not take a new agent for the old one, so the machine is replaced.
		return true
	case len(m.attempts) > 0 && m.isExpiryPostponed(now, t):
		return true
	case len(m.attempts) == 0 && m.IsCordonedFor(ReleaseWhenEmptyReasons):
		return true
	}
	newest := m.heartbeatAt
	if newest.IsZero() {
		newest = t.TermStart
	}
	return now.Sub(newest) > t.LeaseCertainlyExpiredAfter+tuning.UnreachableReleaseDelay
}

// neverReconciled reports whether the machine has sent heartbeats in this term for longer than the
// sum of the lease expiry and the release delay, but none of them with the term's token.
func (m *Machine) neverReconciled(now time.Time, t *Timing) bool {
	return !m.reconciled && !m.firstHeartbeatAt.IsZero() && now.After(t.InheritedTasksEnd) &&
		now.Sub(m.firstHeartbeatAt) > t.LeaseCertainlyExpiredAfter+tuning.UnreachableReleaseDelay
}
