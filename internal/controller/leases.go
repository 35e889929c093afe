package controller

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

func (c *Controller) isSilent(now time.Time, m *machine) bool {
	return now.Sub(m.heardAt) > c.silenceLimit()
}

// silenceLimit is the time without a report that makes a machine silent.
func (c *Controller) silenceLimit() time.Duration {
	return seconds(c.params.Workers.ReportS * tuning.SilentReports)
}

// leaseOver reports whether all that the machine may have held is gone.
func (c *Controller) leaseOver(now time.Time, m *machine) bool {
	if m.cordonedFor(replaced) || !m.confirmed && now.Before(c.inheritedUntil) {
		return false
	}
	return m.answeredAt.IsZero() || now.Sub(m.answeredAt) > c.leaseTime()
}

// expire drops what was on machines whose lease has run out.
func (c *Controller) expire(now time.Time) {
	for _, m := range c.machinesByName {
		if (len(m.attempts) > 0 || !m.confirmed) && c.leaseOver(now, m) && (m.up || m.recorded) {
			if len(m.attempts) > 0 && m.fenceBy.IsZero() {
				c.log.Info().Str("machine", m.id).Int("tasks", len(m.attempts)).Msg("lease over")
			}
			m.lostSession = m.session
			c.dropExpired(now, m)
		}
	}
}

// dropExpired drops what was on a machine whose lease has run out, but for starts
// sent directly without an answer: should the worker have been replaced by a
// new one, which counts its sessions anew, they could still run there. Unless
// it is heard of in a new session soon, the machine is released.
func (c *Controller) dropExpired(now time.Time, m *machine) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		if a := m.attempts[i]; a.state != startSent || !a.direct {
			c.drop(now, a)
		}
	}
	m.exited = nil
	if len(m.attempts) > 0 && m.fenceBy.IsZero() {
		m.fenceBy = now.Add(tuning.FencePause)
	}
}
