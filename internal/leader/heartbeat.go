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
	// HeartbeatApplied: the heartbeat gets a response, which renews the lease of its agent.
	HeartbeatApplied HeartbeatOutcome = iota
	// HeartbeatStale: the heartbeat is older than the known state and gets no response. A
	// response would renew the lease of an agent whose tasks are presumed to have ended, or of a
	// new agent that has replaced the known one.
	HeartbeatStale
	// HeartbeatSuperseded: the agent has seen a later term.
	HeartbeatSuperseded
)

// HandleHeartbeat applies an agent's heartbeat and returns the response. With authority false
// (the key-value store can't be reached) the response starts no tasks.
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
		// A reply to a direct call overtook this heartbeat, but its agent still waits for a
		// response.
		m.RenewLease(now, r.Sequence)
		response.Commands = l.stopCommands(r)
		return response, HeartbeatApplied
	}
	if m.IsStale(r) {
		// A stale heartbeat proves nothing about tasks, renews no lease and gets no commands.
		m.RecordStaleHeartbeat(now)
		return response, HeartbeatStale
	}
	if lost := m.DetectLostResponses(now, r.AgentEpoch, &l.timing); lost {
		l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
	}
	m.AdvanceSession(r.AgentEpoch, r.Sequence)
	if l.mayReceiveLateStart(now, m) {
		return response, HeartbeatStale
	}
	l.recordHeartbeat(now, m, r)
	if r.FencingToken < l.term {
		// The agent may still execute commands of an earlier term: only a heartbeat sent after
		// it has seen this term lists all its tasks.
		response.Commands = l.stopCommands(r)
		return response, HeartbeatApplied
	}
	l.reconcileTasks(now, m, r, true)
	l.checkpointBeforeReclaim(now, m)
	response.Commands = l.heartbeatCommands(m, r, authority)
	return response, HeartbeatApplied
}

// recordHeartbeat records what a heartbeat that gets a response says about the machine itself.
func (l *Leader) recordHeartbeat(now time.Time, m *machines.Machine, r *wire.Heartbeat) {
	joined, reclaimed := m.RecordHeartbeat(now, r)
	l.passRequested = l.passRequested || joined
	if reclaimed {
		l.log.Debug().Str("machine", m.ID).Float64("notice_s", *r.ReclaimNoticeS).Msg("spot reclaim notice")
	}
}

// mayReceiveLateStart reports whether a delayed start of a job that ended longer than
// lateStartLimit ago may still reach the machine's present session. If so, no response may renew
// that session's lease.
func (l *Leader) mayReceiveLateStart(now time.Time, m *machines.Machine) bool {
	limit := lateStartLimit(l.params.Workers)
	return slices.ContainsFunc(m.Attempts(), func(a *machines.Attempt) bool {
		return a.MayStartLate() && !a.Job.IsActive() && now.Sub(a.Job.EndedAt()) > limit
	})
}

// checkpointBeforeReclaim stops running tasks with checkpoints once the time until the cloud
// reclaims their machine is only just enough to save them.
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
