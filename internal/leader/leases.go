package leader

import (
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// expireLeases ends the session of each machine whose lease has expired, and releases the machine's
// attempts. A reconciled machine without attempts keeps its session.
func (l *Leader) expireLeases(now time.Time) {
	for _, m := range l.machines.All() {
		if (len(m.Attempts()) > 0 || !m.IsReconciled()) && m.HasLeaseExpired(now, &l.timing) && m.HasJoined() {
			if len(m.Attempts()) > 0 && !m.IsReleaseRequired() {
				l.log.Info().Str("machine", m.ID).Int("tasks", len(m.Attempts())).Msg("lease expired")
			}
			m.ExpireSession()
			l.releaseAttemptsAfterExpiry(now, m)
		}
	}
}

// releaseAttemptsAfterExpiry releases the attempts on a machine whose lease has expired. It keeps
// attempts whose start was sent by a direct call and may still arrive, or of which a copy may have
// arrived. Such a start could be executed by a new agent that has replaced the known one and counts its
// epochs from the start again. If any attempt is kept, the machine is released, unless a heartbeat of a new session
// arrives within tuning.NewEpochFencingDelay.
func (l *Leader) releaseAttemptsAfterExpiry(now time.Time, m *machines.Machine) {
	for i := len(m.Attempts()) - 1; i >= 0; i-- {
		if a := m.Attempts()[i]; !a.MayBeginByLateStart() && !a.MayRunByCopy(now, &l.timing) {
			l.releaseAttempt(now, a)
		}
	}
	m.ClearExited()
	if len(m.Attempts()) > 0 && !m.IsReleaseRequired() {
		m.RequireRelease(now.Add(tuning.NewEpochFencingDelay))
	}
}
