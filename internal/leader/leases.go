package leader

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

func (l *Leader) heartbeatOverdue(now time.Time, m *machine) bool {
	return now.Sub(m.heartbeatAt) > l.heartbeatTimeout()
}

// heartbeatTimeout is the time without a report that makes a machine silent.
func (l *Leader) heartbeatTimeout() time.Duration {
	return seconds(l.params.Workers.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals)
}

// leaseExpired reports whether all that the machine may have held is gone.
func (l *Leader) leaseExpired(now time.Time, m *machine) bool {
	if m.cordonedFor(cordonReplaced) || !m.reconciled && now.Before(l.inheritedUntil) {
		return false
	}
	return m.leaseRenewedAt.IsZero() || now.Sub(m.leaseRenewedAt) > l.leaseTime()
}

// expireLeases drops what was on machines whose lease has run out.
func (l *Leader) expireLeases(now time.Time) {
	for _, m := range l.machinesByName {
		if (len(m.attempts) > 0 || !m.reconciled) && l.leaseExpired(now, m) && (m.joined || m.fromRecord) {
			if len(m.attempts) > 0 && m.releaseBy.IsZero() {
				l.log.Info().Str("machine", m.id).Int("tasks", len(m.attempts)).Msg("lease expired")
			}
			m.expiredEpoch = m.epoch
			l.releaseExpired(now, m)
		}
	}
}

// releaseExpired drops what was on a machine whose lease has run out, but for starts
// sent directly without an answer: should the worker have been replaced by a
// new one, which counts its sessions anew, they could still run there. Unless
// it is heard of in a new session soon, the machine is released.
func (l *Leader) releaseExpired(now time.Time, m *machine) {
	for i := len(m.attempts) - 1; i >= 0; i-- {
		if a := m.attempts[i]; a.state != stateStartSent || !a.sentDirectly {
			l.release(now, a)
		}
	}
	m.exited = nil
	if len(m.attempts) > 0 && m.releaseBy.IsZero() {
		m.releaseBy = now.Add(tuning.FencingDelay)
	}
}
