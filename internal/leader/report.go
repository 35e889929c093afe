package leader

import (
	"slices"
	"time"

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
	if l.released[r.Machine] {
		return answer, HeartbeatStale
	}
	m := l.machines[r.Machine]
	if m == nil {
		m = l.addMachine(now, r.Machine, r.Type, r.Zone, r.Addr, r.Spot)
	}
	if m.overtakenByDirectReply(r) {
		// It is on its way still, and its worker waits for an answer.
		m.lastPeriodic = r.Sequence
		m.heartbeatAt, m.leaseRenewedAt = now, now
		answer.Commands = l.stopCommands(r)
		return answer, HeartbeatApplied
	}
	if m.isStale(r) {
		// It proves nothing, renews nothing and gets no commands.
		if m.staleHeartbeats++; m.staleHeartbeats == 1 {
			m.staleSince = now
		}
		return answer, HeartbeatStale
	}
	l.detectLostResponses(now, m, r)
	l.advanceSequence(m, r)
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
func (l *Leader) recordHeartbeat(now time.Time, m *machine, r *wire.Heartbeat) {
	m.lastPeriodic = r.Sequence
	m.heartbeatAt, m.leaseRenewedAt = now, now
	m.addr = r.Addr
	if !m.joined {
		m.joined = true
		l.changed = true
	}
	if m.reclaimAt.IsZero() && r.ReclaimNoticeS != nil {
		m.reclaimAt = now.Add(seconds(*r.ReclaimNoticeS))
		m.cordon(cordonReclaimed)
		l.log.Debug().Str("machine", m.id).Float64("notice_s", *r.ReclaimNoticeS).Msg("spot reclaim notice")
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
		if j := l.jobs[id]; t.State != wire.TaskExited && (!ok || j == nil || !j.needsTask(index)) && len(stops) < tuning.MaxCommandsPerResponse {
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &zero})
		}
	}
	return stops
}

// mayStartLate reports whether a start of a job that ended a while ago may still come
// late to the machine's present session: no answer may keep that up.
func (l *Leader) mayStartLate(now time.Time, m *machine) bool {
	bound := lateStartBound(l.params.Workers)
	return slices.ContainsFunc(m.attempts, func(a *attempt) bool {
		return a.state == stateStartSent && a.sentDirectly && a.job.state != jobActive && now.Sub(a.job.endedAt) > bound
	})
}

// isStale reports whether a report is of a session known to be over, or not newer
// than the newest one taken in.
func (m *machine) isStale(r *wire.Heartbeat) bool {
	return r.AgentEpoch <= m.expiredEpoch || r.AgentEpoch < m.epoch || r.AgentEpoch == m.epoch && r.Sequence <= m.sequence
}

// overtakenByDirectReply reports whether a report is older than the newest message only
// because the answer to a direct call came before it, by a shorter way. Refused,
// its worker would leave its node for nothing.
func (m *machine) overtakenByDirectReply(r *wire.Heartbeat) bool {
	return r.AgentEpoch > m.expiredEpoch && r.AgentEpoch == m.epoch && r.Sequence > m.lastPeriodic && r.Sequence <= m.sequence
}

// advanceSequence notes the order of a report; a new session ends all that is late.
func (l *Leader) advanceSequence(m *machine, r *wire.Heartbeat) {
	if r.AgentEpoch > m.epoch {
		clear(m.unforgettable)
		m.lastPeriodic = 0
		if !m.cordonedFor(cordonConsolidated | cordonLateStart) {
			m.releaseBy = time.Time{}
		}
		for _, a := range m.attempts {
			a.sentDirectly = false
		}
	}
	m.epoch, m.sequence = r.AgentEpoch, r.Sequence
}

// checkpointBeforeReclaim stops tasks that can save when the machine is about to be taken.
func (l *Leader) checkpointBeforeReclaim(now time.Time, m *machine) {
	if m.reclaimAt.IsZero() {
		return
	}
	left := m.reclaimAt.Sub(now).Seconds()
	margin := tuning.ReclaimNoticeMargin.Seconds()
	for _, a := range m.attempts {
		if a.stopping || a.job.CheckpointIntervalS <= 0 || a.state != stateRunning {
			continue
		}
		if left <= a.job.CheckpointSaveS+margin {
			a.stopping, a.gracePeriodS = true, a.job.CheckpointSaveS
		}
	}
}

// commands are those of the answer to a report: stops first, as the answer renews the
// lease whether all fit or not, then forgets, then starts.
func (l *Leader) commands(m *machine, r *wire.Heartbeat, authority bool) []wire.Command {
	out := l.stopCommands(r)
	for _, a := range m.attempts {
		if !a.stopping || !a.job.needsTask(int(a.index)) || a.state < stateFetching || a.state == stateSaving && a.gracePeriodS > 0 || len(out) >= tuning.MaxCommandsPerResponse {
			continue // the stops of what nobody wants are there already
		}
		out = append(out, a.stopCommand())
	}
	for _, e := range m.exited {
		if e.forget && len(out) < tuning.MaxCommandsPerResponse {
			out = append(out, wire.Command{Op: wire.OpForget, Task: e.task, Attempt: e.attempt})
		}
	}
	if authority && !m.releasing {
		for _, a := range m.attempts {
			if a.state != stateStartSent || !a.wanted() || a.sentDirectly && m.calling || len(out) >= tuning.MaxCommandsPerResponse {
				continue
			}
			a.sentSequence = r.Sequence
			out = append(out, a.startCommand())
		}
	}
	return out
}
