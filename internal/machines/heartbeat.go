package machines

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// agentSession is what is known of the agent's session and of its heartbeats.
type agentSession struct {
	epoch, sequence uint64
	lastPeriodic    uint64 // the newest heartbeat of the session that the agent sent by itself
	// expiredEpoch is the last session known to be over; what still arrives
	// of it is old.
	expiredEpoch     uint64
	heartbeatAt      time.Time // newest heartbeat that was applied
	leaseRenewedAt   time.Time // newest heartbeat that was answered
	firstHeartbeatAt time.Time // in this term
	reclaimAt        time.Time // by the cloud, zero without a notice
	// staleHeartbeats counts the heartbeats older than the newest since that came,
	// staleSince is when the first of them came.
	staleHeartbeats int
	staleSince      time.Time
}

// Epoch is the agent's present session.
func (s *agentSession) Epoch() uint64 { return s.epoch }

// Sequence is the newest message of the session.
func (s *agentSession) Sequence() uint64 { return s.sequence }

// SinceHeartbeat is the time since the newest heartbeat that was applied.
func (s *agentSession) SinceHeartbeat(now time.Time) time.Duration { return now.Sub(s.heartbeatAt) }

// IsStale reports whether a heartbeat is of a session known to be over, or not newer
// than the newest one that was applied.
func (s *agentSession) IsStale(r *wire.Heartbeat) bool {
	return r.AgentEpoch <= s.expiredEpoch || r.AgentEpoch < s.epoch || r.AgentEpoch == s.epoch && r.Sequence <= s.sequence
}

// IsOvertakenByDirectReply reports whether a heartbeat is older than the newest message only
// because the reply to a direct call came before it, by a shorter way. Refused,
// its agent would leave its node for nothing.
func (s *agentSession) IsOvertakenByDirectReply(r *wire.Heartbeat) bool {
	return r.AgentEpoch > s.expiredEpoch && r.AgentEpoch == s.epoch && r.Sequence > s.lastPeriodic && r.Sequence <= s.sequence
}

// RenewLease notes that a heartbeat which the agent sent by itself is answered.
func (s *agentSession) RenewLease(now time.Time, sequence uint64) {
	s.lastPeriodic = sequence
	s.heartbeatAt, s.leaseRenewedAt = now, now
}

// RecordStaleHeartbeat notes a heartbeat that proves nothing.
func (s *agentSession) RecordStaleHeartbeat(now time.Time) {
	if s.staleHeartbeats++; s.staleHeartbeats == 1 {
		s.staleSince = now
	}
}

// RecordHeartbeat notes what a heartbeat that is answered says of the machine itself. It
// reports whether the machine has joined by it, and whether it brought a notice of the cloud's
// reclaim.
func (m *Machine) RecordHeartbeat(now time.Time, r *wire.Heartbeat) (joined, reclaimed bool) {
	m.RenewLease(now, r.Sequence)
	m.Addr = r.Addr
	joined = !m.joined
	m.joined = true
	if m.reclaimAt.IsZero() && r.ReclaimNoticeS != nil {
		m.reclaimAt = now.Add(seconds.Duration(*r.ReclaimNoticeS))
		reclaimed = true
	}
	return joined, reclaimed
}

// ReclaimIn is the time until the cloud takes the machine, false if it has not said so.
func (m *Machine) ReclaimIn(now time.Time) (time.Duration, bool) {
	return m.reclaimAt.Sub(now), !m.reclaimAt.IsZero()
}

// AdvanceSession notes the order of a message; a new session ends all that is late.
func (m *Machine) AdvanceSession(epoch, sequence uint64) {
	if epoch > m.epoch {
		clear(m.unforgettable)
		m.lastPeriodic = 0
		if !m.CordonedFor(CordonConsolidated | CordonLateStart) {
			m.releaseBy = time.Time{}
		}
		for _, a := range m.attempts {
			a.ClearSentDirectly()
		}
	}
	m.epoch, m.sequence = epoch, sequence
}
