package machines

import "time"

// responseDelivery holds the evidence on whether responses reach a machine whose heartbeats
// arrive.
type responseDelivery struct {
	// gaplessSince is when the current series of heartbeats without a gap began, epochSince when
	// the current session began.
	gaplessSince time.Time
	sessionSince time.Time
	// ineffectiveResponses counts the responses in a row whose starts had no effect, ignoredAt is the
	// time of the last one. responsesLostSince is when responses turned out not to reach the
	// machine, zero while they do.
	ineffectiveResponses int
	lastIneffectiveAt    time.Time
	responsesLostSince   time.Time
}

// DetectLostResponses updates, for a heartbeat with the given epoch, whether responses reach the
// machine. It reports whether this heartbeat has revealed that they don't.
//
// An agent that gets no responses begins a new session when its lease expires. So a new session
// right after heartbeats without a gap shows that responses are lost. Without this check, the
// machine would be sent starts forever that it never gets. A session that outlasts the lease
// shows that responses arrive again.
func (m *Machine) DetectLostResponses(now time.Time, epoch uint64, t *Timing) (lost bool) {
	m.staleHeartbeats = 0
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
	}
	if m.HeartbeatOverdue(now, t) {
		// Heartbeats before the gap are no evidence: a network partition may have delayed them.
		m.gaplessSince = now
	}
	if epoch != m.epoch {
		if m.epoch != 0 && m.reconciled && now.Sub(m.gaplessSince) >= t.LeaseDuration && m.responsesLostSince.IsZero() {
			m.responsesLostSince = now
			lost = true
		}
		m.sessionSince = now
	}
	if now.Sub(m.sessionSince) > t.LeaseExpiry {
		m.responsesLostSince = time.Time{}
		if now.Sub(m.lastIneffectiveAt) > t.LeaseExpiry {
			m.ineffectiveResponses = 0
		}
	}
	return lost
}

// RecordIneffectiveResponse records that the starts in an earlier response had no effect.
func (d *responseDelivery) RecordIneffectiveResponse(now time.Time) {
	d.ineffectiveResponses++
	d.lastIneffectiveAt = now
}

// RecordStartExecuted records that the machine has carried out a start, so that responses do
// have an effect.
func (d *responseDelivery) RecordStartExecuted() { d.ineffectiveResponses = 0 }
