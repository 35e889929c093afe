package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// expireLeases releases the attempts on machines whose lease has expired.
func (l *Leader) expireLeases(now time.Time) {
	for _, m := range l.machines.All() {
		if (len(m.Attempts()) > 0 || !m.IsReconciled()) && m.LeaseExpired(now, &l.timing) && m.HasJoined() {
			if len(m.Attempts()) > 0 && !m.ReleaseRequired() {
				l.log.Info().Str("machine", m.ID).Int("tasks", len(m.Attempts())).Msg("lease expired")
			}
			m.ExpireSession()
			l.releaseExpired(now, m)
		}
	}
}

// releaseExpired releases the attempts on a machine whose lease has expired, except for starts
// sent by a direct call that got no reply. If a new agent has replaced the known one and numbers
// its sessions from the beginning, these starts could still run there. Unless a heartbeat of a
// new session arrives soon, the machine is released.
func (l *Leader) releaseExpired(now time.Time, m *machines.Machine) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		if a := m.Attempts()[i]; !a.MayStartLate() {
			l.releaseAttempt(now, a)
		}
	}
	m.ClearExited()
	if len(m.Attempts()) > 0 && !m.ReleaseRequired() {
		m.RequireRelease(now.Add(tuning.NewEpochFencingDelay))
	}
}
