package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// HeartbeatOutcome says how a heartbeat was handled.
type HeartbeatOutcome int

// Outcomes of heartbeats.
const (
	// HeartbeatApplied: the heartbeat gets a response, which renews the lease of its machine.
	HeartbeatApplied HeartbeatOutcome = iota
	// HeartbeatStale: the agent must get an error instead of a response. A response would renew the
	// lease of an agent whose tasks count as ended, of a new agent that has replaced the known one,
	// or of a session that a late start may still reach.
	HeartbeatStale
	// HeartbeatFromLaterTerm: the agent has seen a later term, so this leader has been superseded.
	HeartbeatFromLaterTerm
)

// HandleHeartbeat applies an agent's heartbeat and returns the response. authority is false while
// the leader can't reach the key-value store; the response then contains no starts.
func (l *Leader) HandleHeartbeat(now time.Time, h *wire.Heartbeat, authority bool) (wire.HeartbeatResponse, HeartbeatOutcome) {
	response := wire.HeartbeatResponse{FencingToken: l.term, Commands: []wire.Command{}}
	if h.FencingToken > l.term {
		return response, HeartbeatFromLaterTerm
	}
	if l.machines.WasReleased(h.Machine) {
		return response, HeartbeatStale
	}
	m := l.machines.Get(h.Machine)
	if m == nil {
		m = l.addMachine(now, h.Machine, h.Type, h.Zone, h.Addr, h.Spot)
	}
	if m.IsOvertakenByDirectReply(h) {
		// The agent sent this heartbeat before its reply to a direct call, but the reply arrived
		// first. The agent still waits for the response to the heartbeat.
		m.RenewLease(now, h.Sequence)
		response.Commands = l.stopCommands(h)
		return response, HeartbeatApplied
	}
	if m.IsStale(h) {
		// A stale heartbeat proves nothing about tasks, so it changes no attempt and renews no
		// lease.
		m.RecordStaleHeartbeat(now)
		return response, HeartbeatStale
	}
	if responsesLost := m.DetectLostResponses(now, h.AgentEpoch, &l.timing); responsesLost {
		l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
	}
	m.AdvanceSession(h.AgentEpoch, h.Sequence)
	if l.mayReceiveLateStart(now, m) {
		return response, HeartbeatStale
	}
	l.recordHeartbeat(now, m, h)
	if h.FencingToken < l.term {
		// The agent had not seen this term yet, and may still execute commands of an earlier one.
		// Its task list is complete only after it has seen this term.
		response.Commands = l.stopCommands(h)
		return response, HeartbeatApplied
	}
	l.reconcileTasks(now, m, h, true) // a periodic heartbeat
	l.checkpointBeforeReclaim(now, m)
	response.Commands = l.heartbeatCommands(m, h, authority)
	return response, HeartbeatApplied
}

// recordHeartbeat renews the machine's lease and applies the fields of a heartbeat that describe
// the machine itself.
func (l *Leader) recordHeartbeat(now time.Time, m *machines.Machine, h *wire.Heartbeat) {
	joined, reclaimed := m.RecordHeartbeat(now, h)
	l.schedulingPassRequested = l.schedulingPassRequested || joined
	if reclaimed {
		l.log.Debug().Str("machine", m.ID).Float64("notice_s", *h.ReclaimNoticeS).Msg("spot reclaim notice")
	}
}

// mayReceiveLateStart reports whether the machine's current session may still receive a delayed
// start of a job that ended longer than lateStartLimit ago. If so, no response may renew the lease
// of that session: the start becomes void when the session ends.
func (l *Leader) mayReceiveLateStart(now time.Time, m *machines.Machine) bool {
	limit := lateStartLimit(l.params.Workers)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return a.MayStartLate() && !a.Job.IsActive() && now.Sub(a.Job.EndedAt()) > limit
	})
}

// checkpointBeforeReclaim stops the running tasks that can save a checkpoint on a machine that the
// cloud is about to reclaim. It does so when the remaining time is only just enough to save the
// checkpoint.
func (l *Leader) checkpointBeforeReclaim(now time.Time, m *machines.Machine) {
	remaining, reclaimed := m.ReclaimIn(now)
	if !reclaimed {
		return
	}
	margin := tuning.ReclaimNoticeMargin.Seconds()
	for _, a := range m.Attempts() {
		if a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.State() != machines.Running {
			continue
		}
		if remaining.Seconds() <= a.Job.CheckpointSaveS+margin {
			a.RequestGracefulStop()
		}
	}
}
