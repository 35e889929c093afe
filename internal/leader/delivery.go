package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// detectLostResponses judges whether our answers reach a machine whose reports reach us.
// Its lease runs out if they don't: a new session right after reports without
// a gap shows it. Such a machine would take starts for ever that it never gets.
// A session that lasts longer than the lease shows that answers arrive again.
func (l *Leader) detectLostResponses(now time.Time, m *machines.Machine, r *wire.Heartbeat) {
	m.StaleHeartbeats = 0
	if m.FirstHeartbeatAt.IsZero() {
		m.FirstHeartbeatAt = now
	}
	if l.heartbeatOverdue(now, m) {
		// The time before the gap says nothing: a cut may have held reports
		// back and delivered them late.
		m.SteadySince = now
	}
	if r.AgentEpoch != m.Epoch {
		if m.Epoch != 0 && m.Reconciled && now.Sub(m.SteadySince) >= seconds(l.params.Workers.LeaseS) && m.ResponsesLostSince.IsZero() {
			m.ResponsesLostSince = now
			l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
		}
		m.EpochSince = now
	}
	if now.Sub(m.EpochSince) > l.leaseTime() {
		m.ResponsesLostSince = time.Time{}
		if now.Sub(m.IgnoredAt) > l.leaseTime() {
			m.IgnoredResponses = 0
		}
	}
	m.UpdateDeliveryCordon()
}
