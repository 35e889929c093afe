package machines

import "time"

// responseDelivery holds the data from which the leader concludes whether its responses reach a
// machine whose heartbeats arrive.
type responseDelivery struct {
	// gaplessSince is when the current series of heartbeats without a gap began, sessionSince is
	// when the current session began.
	gaplessSince time.Time
	sessionSince time.Time
	// ineffectiveResponses counts the responses in a row whose starts had no effect,
	// lastIneffectiveAt is the time of the last one. responsesLostSince is when it was detected
	// that responses don't reach the machine, zero while they do.
	ineffectiveResponses int
	lastIneffectiveAt    time.Time
	responsesLostSince   time.Time
}

// DetectLostResponses determines from the epoch of a heartbeat whether responses reach the machine.
// It returns true if this heartbeat shows for the first time that they don't.
//
// An agent that gets no responses begins a new session when its lease expires. If a new session
// follows a series of heartbeats without a gap, which lasted for a lease or longer, responses must
// have been lost. Without this check, the leader would go on assigning tasks to a machine that
// never receives their starts. A session that lasts longer than the lease shows that responses
// arrive again.
func (m *Machine) DetectLostResponses(now time.Time, epoch uint64, t *Timing) (lost bool) {
	m.staleHeartbeats = 0
	if m.firstHeartbeatAt.IsZero() {
		m.firstHeartbeatAt = now
	}
	if m.HeartbeatOverdue(now, t) {
		// A network partition may have caused the gap, so heartbeats before it don't show whether
		// responses arrive.
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

// RecordIneffectiveResponse records that the starts in the last response had no effect.
func (d *responseDelivery) RecordIneffectiveResponse(now time.Time) {
	d.ineffectiveResponses++
	d.lastIneffectiveAt = now
}

// RecordStartExecuted records that the machine has executed a start. It thus gets responses, and
// they have an effect.
func (d *responseDelivery) RecordStartExecuted() { d.ineffectiveResponses = 0 }
