package leader

import (
	"time"

	"switchshore.example/switchshore/wire"
)

// detectLostResponses judges whether our answers reach a machine whose reports reach us.
// Its lease runs out if they don't: a new session right after reports without
// a gap shows it. Such a machine would take starts for ever that it never gets.
// A session that lasts longer than the lease shows that answers arrive again.
func (l *Leader) detectLostResponses(now time.Time, m *machine, r *wire.Heartbeat) {
	m.staleHeartbeats = 0
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
	}
	if l.heartbeatOverdue(now, m) {
		// The time before the gap says nothing: a cut may have held reports
		// back and delivered them late.
		m.steadySince = now
	}
	if r.AgentEpoch != m.epoch {
		if m.epoch != 0 && m.reconciled && now.Sub(m.steadySince) >= seconds(l.params.Workers.LeaseS) && m.responsesLostSince.IsZero() {
			m.responsesLostSince = now
			l.log.Info().Str("machine", m.id).Msg("machine does not receive responses")
		}
		m.epochSince = now
	}
	if now.Sub(m.epochSince) > l.leaseTime() {
		m.responsesLostSince = time.Time{}
		if now.Sub(m.ignoredAt) > l.leaseTime() {
			m.ignoredResponses = 0
		}
	}
	m.updateDeliveryCordon()
}
