package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

func (l *Leader) heartbeatOverdue(now time.Time, m *machines.Machine) bool {
	return now.Sub(m.HeartbeatAt) > l.heartbeatTimeout()
}

// heartbeatTimeout is the time without a report that makes a machine silent.
func (l *Leader) heartbeatTimeout() time.Duration {
	return seconds(l.params.Workers.HeartbeatIntervalS * tuning.HeartbeatTimeoutIntervals)
}

// leaseExpired reports whether all that the machine may have held is gone.
func (l *Leader) leaseExpired(now time.Time, m *machines.Machine) bool {
	if m.CordonedFor(machines.CordonReplaced) || !m.Reconciled && now.Before(l.inheritedUntil) {
		return false
	}
	return m.LeaseRenewedAt.IsZero() || now.Sub(m.LeaseRenewedAt) > l.leaseTime()
}

// expireLeases drops what was on machines whose lease has run out.
func (l *Leader) expireLeases(now time.Time) {
	for _, m := range l.machines.All() {
		if (len(m.Attempts) > 0 || !m.Reconciled) && l.leaseExpired(now, m) && (m.Joined || m.FromRecord) {
			if len(m.Attempts) > 0 && m.ReleaseBy.IsZero() {
				l.log.Info().Str("machine", m.ID).Int("tasks", len(m.Attempts)).Msg("lease expired")
			}
			m.ExpiredEpoch = m.Epoch
			l.releaseExpired(now, m)
		}
	}
}

// releaseExpired drops what was on a machine whose lease has run out, but for starts
// sent directly without an answer: should the worker have been replaced by a
// new one, which counts its sessions anew, they could still run there. Unless
// it is heard of in a new session soon, the machine is released.
func (l *Leader) releaseExpired(now time.Time, m *machines.Machine) {
	for i := len(m.Attempts) - 1; i >= 0; i-- {
		if a := m.Attempts[i]; !a.MayStartLate() {
			l.release(now, a)
		}
	}
	m.Exited = nil
	if len(m.Attempts) > 0 && m.ReleaseBy.IsZero() {
		m.ReleaseBy = now.Add(tuning.FencingDelay)
	}
}
