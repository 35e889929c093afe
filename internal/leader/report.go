package leader

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// HeartbeatOutcome is what becomes of a report.
type HeartbeatOutcome int

// Outcomes of reports.
const (
	// HeartbeatApplied: it gets the answer, which renews the worker's lease.
	HeartbeatApplied HeartbeatOutcome = iota
	// HeartbeatStale: it is older than what is known. An answer would renew the lease
	// of a worker whose tasks are presumed to have ended, or of a new one that
	// has taken the place of the one known: it gets none.
	HeartbeatStale
	// HeartbeatSuperseded: the worker has seen a later term.
	HeartbeatSuperseded
)

// HandleHeartbeat takes in a worker's heartbeat and answers it. With authority false
// (the state service is out of reach) nothing is started.
func (l *Leader) HandleHeartbeat(now time.Time, r *wire.Heartbeat, authority bool) (wire.HeartbeatResponse, HeartbeatOutcome) {
	answer := wire.HeartbeatResponse{FencingToken: l.term, Commands: []wire.Command{}}
	if r.FencingToken > l.term {
		return answer, HeartbeatSuperseded
	}
	if l.machines.WasReleased(r.Machine) {
		return answer, HeartbeatStale
	}
	m := l.machines.Get(r.Machine)
	if m == nil {
		m = l.addMachine(now, r.Machine, r.Type, r.Zone, r.Addr, r.Spot)
	}
	if m.IsOvertakenByDirectReply(r) {
		// It is on its way still, and its worker waits for an answer.
		m.RenewLease(now, r.Sequence)
		answer.Commands = l.stopCommands(r)
		return answer, HeartbeatApplied
	}
	if m.IsStale(r) {
		// It proves nothing, renews nothing and gets no commands.
		m.RecordStaleHeartbeat(now)
		return answer, HeartbeatStale
	}
	if lost := m.DetectLostResponses(now, r.AgentEpoch, &l.timing); lost {
		l.log.Info().Str("machine", m.ID).Msg("machine does not receive responses")
	}
	m.AdvanceSession(r.AgentEpoch, r.Sequence)
	if l.mayStartLate(now, m) {
		return answer, HeartbeatStale
	}
	l.recordHeartbeat(now, m, r)
	if r.FencingToken < l.term {
		// The worker may still take orders of an earlier term: only a report
		// sent after it has seen this term shows all that it holds.
		answer.Commands = l.stopCommands(r)
		return answer, HeartbeatApplied
	}
	l.reconcileTasks(now, m, r, true)
	l.checkpointBeforeReclaim(now, m)
	answer.Commands = l.commands(m, r, authority)
	return answer, HeartbeatApplied
}

// recordHeartbeat notes what a report that is answered says of the machine itself.
func (l *Leader) recordHeartbeat(now time.Time, m *machines.Machine, r *wire.Heartbeat) {
	joined, reclaimed := m.RecordHeartbeat(now, r)
	l.changed = l.changed || joined
	if reclaimed {
		l.log.Debug().Str("machine", m.ID).Float64("notice_s", *r.ReclaimNoticeS).Msg("spot reclaim notice")
	}
}

// stopCommands are the stops of all listed tasks that nobody wants any more. Every
// answer renews the lease, so every answer carries them: leaders that ended
// one after the other, each having heard a worker once in its term, would
// otherwise keep a cancelled task alive for longer than a cancellation may take.
func (l *Leader) stopCommands(r *wire.Heartbeat) []wire.Command {
	stops := []wire.Command{}
	zero := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, index, ok := wire.SplitTask(t.Task)
		if j := l.jobs.Get(id); t.State != wire.TaskExited && (!ok || j == nil || !j.NeedsTask(index)) && len(stops) < tuning.MaxCommandsPerResponse {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &zero})
		}
	}
	return stops
}

// mayStartLate reports whether a start of a job that ended a while ago may still come
// late to the machine's present session: no answer may keep that up.
func (l *Leader) mayStartLate(now time.Time, m *machines.Machine) bool {
	bound := lateStartBound(l.params.Workers)
	return slices.ContainsFunc(m.Attempts, func(a *machines.Attempt) bool {
		return a.MayStartLate() && !a.Job.IsActive() && now.Sub(a.Job.EndedAt()) > bound
	})
}

// checkpointBeforeReclaim stops tasks that can save when the machine is about to be taken.
func (l *Leader) checkpointBeforeReclaim(now time.Time, m *machines.Machine) {
	left, reclaimed := m.ReclaimIn(now)
	if !reclaimed {
		return
	}
	margin := tuning.ReclaimNoticeMargin.Seconds()
	for _, a := range m.Attempts {
		if a.IsStopping() || a.Job.CheckpointIntervalS <= 0 || a.State() != machines.Running {
			continue
		}
		if left.Seconds() <= a.Job.CheckpointSaveS+margin {
			a.StopSaving()
		}
	}
}

// commands are those of the answer to a report: stops first, as the answer renews the
// lease whether all fit or not, then forgets, then starts.
func (l *Leader) commands(m *machines.Machine, r *wire.Heartbeat, authority bool) []wire.Command {
	out := l.stopCommands(r)
	for _, a := range m.Attempts {
		if !a.NeedsStop() || len(out) >= tuning.MaxCommandsPerResponse {
			continue // the stops of what nobody wants are there already
		}
		out = append(out, a.StopCommand())
	}
	for _, e := range m.Exited() {
		if e.Forget && len(out) < tuning.MaxCommandsPerResponse {
			out = append(out, wire.Command{Op: wire.OpForget, Task: e.Task, Attempt: e.Attempt})
		}
	}
	if authority && !m.Releasing {
		for _, a := range m.Attempts {
			if !a.NeedsStart() || a.WasSentDirectly() && m.IsBeingCalled() || len(out) >= tuning.MaxCommandsPerResponse {
				continue
			}
			a.MarkSentInResponse(r.Sequence)
			out = append(out, a.StartCommand())
		}
	}
	return out
}
