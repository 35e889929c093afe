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
	// HeartbeatRejected: the agent must get an error, because a response would renew its lease. The
	// lease must not be renewed in these cases:
	//   - The agent's session has expired or its machine was released, so its tasks count as ended.
	//   - A new agent has replaced the known one.
	//   - A start of an ended job may still reach the agent, see mayReceiveLateStart.
	//   - The heartbeat is not newer than a message that was applied already.
	HeartbeatRejected
	// HeartbeatFromLaterTerm: the agent has seen a later term, so this leader has been superseded.
	HeartbeatFromLaterTerm
)

// HandleHeartbeat applies an agent's heartbeat and returns the response. holdsLeaderLease is false
// while the leader can't reach the key-value store. The response then contains no starts.
func (l *Leader) HandleHeartbeat(now time.Time, h *wire.Heartbeat, holdsLeaderLease bool) (wire.HeartbeatResponse, HeartbeatOutcome) {
	response := wire.HeartbeatResponse{FencingToken: l.term, Commands: []wire.Command{}}
	if h.FencingToken > l.fencingTokens.reserved {
		return response, HeartbeatFromLaterTerm
	}
	if l.machines.WasReleased(h.Machine) {
		return response, HeartbeatRejected
	}
	m := l.machines.Get(h.Machine)
	if m == nil {
		m = l.addMachine(now, h.Machine, h.Type, h.Zone, h.Addr, h.Spot)
	}
	if !l.verifier.accepts(now, m, h) {
		return response, HeartbeatRejected
	}
	if m.IsOvertakenByDirectReply(h) {
		// The agent sent this heartbeat before its reply to a direct call, but the reply arrived
		// first. The reply is newer, so the task list of this heartbeat is not applied. The agent
		// gets a response nevertheless, because without one it would switch to another node.
		m.RenewLease(now, h.Sequence)
		return l.newHeartbeatResponse(m, l.stopCommands(h)), HeartbeatApplied
	}
	if responsesLost := m.DetectLostResponses(now, h.AgentEpoch, &l.timing); responsesLost {
		l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
	}
	m.AdvanceSession(h)
	if l.mayReceiveLateStart(now, m) {
		return response, HeartbeatRejected
	}
	l.recordHeartbeat(now, m, h)
	if h.FencingToken < l.term {
		// The agent had not seen this term when it sent the heartbeat. It may still execute starts of
		// an earlier term, whose tasks are not in its task list yet. Its task lists are complete only
		// after it has seen this term.
		return l.newHeartbeatResponse(m, l.stopCommands(h)), HeartbeatApplied
	}
	if accepted := l.reconcileTasks(now, m, h, true /* periodic */); !accepted {
		return response, HeartbeatRejected
	}
	l.checkpointBeforeReclaim(now, m)
	commands := l.heartbeatCommands(m, h, holdsLeaderLease) // may raise the machine's fencing token
	return l.newHeartbeatResponse(m, commands), HeartbeatApplied
}

// newHeartbeatResponse returns a response with the machine's present fencing token.
func (l *Leader) newHeartbeatResponse(m *machines.Machine, commands []wire.Command) wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: m.FencingToken(l.term), Commands: commands}
}

// recordHeartbeat renews the machine's lease and applies the fields of a heartbeat that describe
// the machine itself.
func (l *Leader) recordHeartbeat(now time.Time, m *machines.Machine, h *wire.Heartbeat) {
	joined, reclaimAnnounced := m.RecordHeartbeat(now, h)
	l.schedulingPassRequested = l.schedulingPassRequested || joined
	if reclaimAnnounced {
		l.log.Debug().Str("machine", m.ID).Float64("notice_s", *h.ReclaimNoticeS).Msg("spot reclaim notice")
	}
}

// mayReceiveLateStart reports whether a delayed start of a job may still reach the machine although
// the job ended more than lateStartLimit ago. The leader then no longer renews the machine's lease.
// When the lease expires, the agent's session ends, which makes the start void.
func (l *Leader) mayReceiveLateStart(now time.Time, m *machines.Machine) bool {
	limit := lateStartLimit(l.params.Workers)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return a.MayBeginByLateStart() && !a.Job.IsActive() && now.Sub(a.Job.EndedAt()) > limit
	})
}

// checkpointBeforeReclaim stops the running tasks on a machine whose reclaim the cloud has announced,
// so that the tasks save a checkpoint. It stops a task when the time until the reclaim is only just
// enough for the checkpoint. It does not stop tasks that save no checkpoints.
func (l *Leader) checkpointBeforeReclaim(now time.Time, m *machines.Machine) {
	remaining, reclaimAnnounced := m.TimeUntilReclaim(now)
	if !reclaimAnnounced {
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
