package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// HeartbeatOutcome is what becomes of a heartbeat.
type HeartbeatOutcome int

// Outcomes of heartbeats.
const (
	// HeartbeatApplied: it gets a response, which renews the agent's lease.
	HeartbeatApplied HeartbeatOutcome = iota
	// HeartbeatStale: it is older than what is known. A response would renew the lease
	// of an agent whose tasks are presumed to have ended, or of a new one that
	// has taken the place of the one known: it gets none.
	HeartbeatStale
	// HeartbeatSuperseded: the agent has seen a later term.
	HeartbeatSuperseded
)

// HandleHeartbeat applies an agent's heartbeat and returns the response. With authority false
// (the key-value store is out of reach) nothing is started.
func (l *Leader) HandleHeartbeat(now time.Time, r *wire.Heartbeat, authority bool) (wire.HeartbeatResponse, HeartbeatOutcome) {
	response := wire.HeartbeatResponse{FencingToken: l.term, Commands: []wire.Command{}}
	if r.FencingToken > l.term {
		return response, HeartbeatSuperseded
	}
	if l.machines.WasReleased(r.Machine) {
		return response, HeartbeatStale
	}
	m := l.machines.Get(r.Machine)
	if m == nil {
		m = l.addMachine(now, r.Machine, r.Type, r.Zone, r.Addr, r.Spot)
	}
	if m.IsOvertakenByDirectReply(r) {
		// Its agent still waits for a response.
		m.RenewLease(now, r.Sequence)
		response.Commands = l.stopCommands(r)
		return response, HeartbeatApplied
	}
	if m.IsStale(r) {
		// It proves nothing, renews nothing and gets no commands.
		m.RecordStaleHeartbeat(now)
		return response, HeartbeatStale
	}
	if lost := m.DetectLostResponses(now, r.AgentEpoch, &l.timing); lost {
		l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
	}
	m.AdvanceSession(r.AgentEpoch, r.Sequence)
	if l.mayStartLate(now, m) {
		return response, HeartbeatStale
	}
	l.recordHeartbeat(now, m, r)
	if r.FencingToken < l.term {
		// The agent may still carry out commands of an earlier term: only a heartbeat
		// sent after it has seen this term lists all its tasks.
		response.Commands = l.stopCommands(r)
		return response, HeartbeatApplied
	}
	l.reconcileTasks(now, m, r, true)
	l.checkpointBeforeReclaim(now, m)
	response.Commands = l.commands(m, r, authority)
	return response, HeartbeatApplied
}

// recordHeartbeat notes what a heartbeat that gets a response says of the machine itself.
func (l *Leader) recordHeartbeat(now time.Time, m *machines.Machine, r *wire.Heartbeat) {
	joined, reclaimed := m.RecordHeartbeat(now, r)
	l.changed = l.changed || joined
	if reclaimed {
		l.log.Debug().Str("machine", m.ID).Float64("notice_s", *r.ReclaimNoticeS).Msg("spot reclaim notice")
	}
}

// mayStartLate reports whether a start of a job that ended a while ago may still come
// late to the machine's present session: no response may renew that session's lease.
func (l *Leader) mayStartLate(now time.Time, m *machines.Machine) bool {
	bound := lateStartBound(l.params.Workers)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return a.MayStartLate() && !a.Job.IsActive() && now.Sub(a.Job.EndedAt()) > bound
	})
}

// checkpointBeforeReclaim stops tasks that can save when the cloud is about to take the machine.
func (l *Leader) checkpointBeforeReclaim(now time.Time, m *machines.Machine) {
	left, reclaimed := m.ReclaimIn(now)
	if !reclaimed {
		return
	}
	margin := tuning.ReclaimNoticeMargin.Seconds()
	for _, a := range m.Attempts() {
		if a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.State() != machines.Running {
			continue
		}
		if left.Seconds() <= a.Job.CheckpointSaveS+margin {
			a.StopGracefully()
		}
	}
}
