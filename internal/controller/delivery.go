package controller

import (
	"time"

	"switchshore.example/switchshore/wire"
)

// observeDelivery judges whether our answers reach a machine whose reports reach us.
// Its lease runs out if they don't: a new session right after reports without
// a gap shows it. Such a machine would take starts for ever that it never gets.
// A session that lasts longer than the lease shows that answers arrive again.
func (c *Controller) observeDelivery(now time.Time, m *machine, r *wire.Report) {
	m.staleReports = 0
	if m.firstHeard.IsZero() {
		m.firstHeard = now
	}
	if c.isSilent(now, m) {
		// The time before the gap says nothing: a cut may have held reports
		// back and delivered them late.
		m.onTimeFrom = now
	}
	if r.Session != m.session {
		if m.session != 0 && m.confirmed && now.Sub(m.onTimeFrom) >= seconds(c.params.Workers.LeaseS) && m.answersLostAt.IsZero() {
			m.answersLostAt = now
			c.log.Info().Str("machine", m.id).Msg("reports arrive, answers don't get there")
		}
		m.sessionFrom = now
	}
	if now.Sub(m.sessionFrom) > c.leaseTime() {
		m.answersLostAt = time.Time{}
		if now.Sub(m.ignoredAt) > c.leaseTime() {
			m.ignoredAnswers = 0
		}
	}
	m.judgeDelivery()
}
