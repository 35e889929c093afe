package machines

import "time"

// responseDelivery is what shows whether responses reach a machine whose heartbeats arrive.
type responseDelivery struct {
	// steadySince is since when heartbeats have come without a gap, epochSince
	// since when in the present session.
	steadySince time.Time
	epochSince  time.Time
	// ignoredResponses counts the responses with starts in a row that had no effect, the last
	// at ignoredAt; responsesLostSince is when the machine is known not to get
	// responses, zero while it does.
	ignoredResponses   int
	ignoredAt          time.Time
	responsesLostSince time.Time
}

// DetectLostResponses judges by a new heartbeat of a session whether responses reach the
// machine, and reports whether it has turned out now that they don't.
// Its lease expires if they don't: a new session right after heartbeats without
// a gap shows it. Such a machine would be given starts for ever that it never gets.
// A session that lasts longer than the lease shows that responses arrive again.
func (m *Machine) DetectLostResponses(now time.Time, epoch uint64, t *Timing) (lost bool) {
	m.staleHeartbeats = 0
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
	}
	if m.HeartbeatOverdue(now, t) {
		// The time before the gap says nothing: a cut may have held heartbeats
		// back and delivered them late.
		m.steadySince = now
	}
	if epoch != m.epoch {
		if m.epoch != 0 && m.reconciled && now.Sub(m.steadySince) >= t.Lease && m.responsesLostSince.IsZero() {
			m.responsesLostSince = now
			lost = true
		}
		m.epochSince = now
	}
	if now.Sub(m.epochSince) > t.LeaseExpiry {
		m.responsesLostSince = time.Time{}
		if now.Sub(m.ignoredAt) > t.LeaseExpiry {
			m.ignoredResponses = 0
		}
	}
	return lost
}

// RecordIgnoredResponse notes that starts in an earlier response had no effect.
func (d *responseDelivery) RecordIgnoredResponse(now time.Time) {
	d.ignoredResponses++
	d.ignoredAt = now
}

// RecordStartObserved notes that the machine has carried out a start that was sent in a response.
func (d *responseDelivery) RecordStartObserved() { d.ignoredResponses = 0 }
