package machines

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// agentSession holds the state of the agent's session and its heartbeats.
type agentSession struct {
	epoch, sequence      uint64 // epoch of the current session, and sequence number of its newest message
	lastPeriodicSequence uint64 // sequence of the newest heartbeat that was not a reply to a direct call
	// expiredEpoch is the epoch of the last session known to have expired. Messages of that
	// session and of earlier ones are stale.
	expiredEpoch     uint64
	heartbeatAt      time.Time // time of the newest applied heartbeat
	leaseRenewedAt   time.Time // time of the newest heartbeat that renewed the lease
	firstHeartbeatAt time.Time // time of the first heartbeat in this term
	reclaimAt        time.Time // when the cloud reclaims the machine, zero if it gave no notice
	// staleHeartbeats counts the stale heartbeats that have arrived after the newest heartbeat,
	// firstStaleAt is when the first of them arrived.
	staleHeartbeats int
	firstStaleAt    time.Time
	lastStaleAt     time.Time // when the latest stale heartbeat arrived, or zero
}

// Epoch returns the epoch of the agent's current session.
func (s *agentSession) Epoch() uint64 { return s.epoch }

// NewestPosition returns the position of the newest message.
func (s *agentSession) NewestPosition() MessagePosition { return MessagePosition{s.epoch, s.sequence} }

// SinceHeartbeat returns the time since the newest heartbeat was applied.
func (s *agentSession) SinceHeartbeat(now time.Time) time.Duration { return now.Sub(s.heartbeatAt) }

// IsStale reports whether a heartbeat belongs to an expired or earlier session, or is not newer
// than the newest message.
func (s *agentSession) IsStale(r *wire.Heartbeat) bool {
	return r.AgentEpoch <= s.expiredEpoch || r.AgentEpoch < s.epoch || r.AgentEpoch == s.epoch && r.Sequence <= s.sequence
}

// IsOvertakenByDirectReply reports whether a heartbeat is older than the newest message only
// because a later reply to a direct call has arrived first. If such a heartbeat were refused, the
// agent would needlessly switch to another node.
func (s *agentSession) IsOvertakenByDirectReply(r *wire.Heartbeat) bool {
	return r.AgentEpoch > s.expiredEpoch && r.AgentEpoch == s.epoch && r.Sequence > s.lastPeriodicSequence && r.Sequence <= s.sequence
}

// RenewLease records that the response to a periodic heartbeat renews the lease.
func (s *agentSession) RenewLease(now time.Time, sequence uint64) {
	s.lastPeriodicSequence = sequence
	s.heartbeatAt, s.leaseRenewedAt = now, now
}

// RecordStaleHeartbeat counts a stale heartbeat and records the times of the first one after the newest
// heartbeat and of the latest one.
func (s *agentSession) RecordStaleHeartbeat(now time.Time) {
	s.lastStaleAt = now
	if s.staleHeartbeats++; s.staleHeartbeats == 1 {
		s.firstStaleAt = now
	}
}

// RecordHeartbeat renews the lease and applies the address and the reclaim notice of a heartbeat;
// the task list is applied elsewhere. joined is true for the machine's first heartbeat.
// reclaimAnnounced is true for the first heartbeat with a notice that the cloud reclaims the machine.
func (m *Machine) RecordHeartbeat(now time.Time, r *wire.Heartbeat) (joined, reclaimAnnounced bool) {
	m.RenewLease(now, r.Sequence)
	m.Addr = r.Addr
	joined = !m.joined
	m.joined = true
	if m.reclaimAt.IsZero() && r.ReclaimNoticeS != nil {
		m.reclaimAt = now.Add(seconds.Duration(*r.ReclaimNoticeS))
		reclaimAnnounced = true
	}
	return joined, reclaimAnnounced
}

// TimeUntilReclaim returns the time until the cloud reclaims the machine. The second result is false
// if the cloud gave no notice.
func (m *Machine) TimeUntilReclaim(now time.Time) (time.Duration, bool) {
	return m.reclaimAt.Sub(now), !m.reclaimAt.IsZero()
}

// AdvanceSession records the epoch, sequence number and fencing token of a message. The agent executes no starts
// of earlier sessions. So when a message begins a new session:
//   - starts sent by direct calls can no longer arrive late
//   - a required release is cancelled, unless the machine is cordoned for consolidation or a late
//     start
func (m *Machine) AdvanceSession(h *wire.Heartbeat) {
	if h.AgentEpoch > m.epoch {
		m.lastPeriodicSequence = 0
		if !m.IsCordonedFor(CordonConsolidated | CordonLateStart) {
			m.releaseBy = time.Time{}
		}
		for _, a := range m.attempts {
			a.RuleOutDirectStart()
		}
	}
	m.epoch, m.sequence = h.AgentEpoch, h.Sequence
	m.recordToken(h)
}
