package leader

import (
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// agentVerifier decides whether messages come from the agents that the leader knows. When a machine
// restarts, a new agent without tasks takes the place of the known one. Its heartbeats must not count as
// proof that tasks have ended: a copy of a direct call may start these again there, because the new
// agent has not seen the fencing token that voids the copy. Only the machine's release proves that
// they have ended, so a machine whose agent was replaced gets no response and is released.
type agentVerifier struct {
	log   zerolog.Logger
	calls *directCalls
}

// accepts reports whether the leader may apply a heartbeat, as far as it can tell from the heartbeat's
// position and fencing token.
func (v *agentVerifier) accepts(now time.Time, m *machines.Machine, h *wire.Heartbeat) bool {
	switch {
	case m.IsCordonedFor(machines.CordonAgentReplaced):
		if m.ProbeEpoch() != 0 {
			v.calls.enqueue(m) // the last probe got no reply
		}
		return false
	case m.IsFromNewAgent(h):
		v.markReplaced(m, h, "token")
		return false
	case m.IsStale(h) && !m.IsOvertakenByDirectReply(h):
		v.recordStale(now, m, h)
		return false
	}
	return true
}

// acceptsReply reports whether the leader may apply the reply to a direct call. newestBefore is the
// position of the newest message of the known agent when the call was made.
func (v *agentVerifier) acceptsReply(m *machines.Machine, h *wire.Heartbeat, newestBefore machines.MessagePosition) bool {
	m.EndProbe()
	switch {
	case m.IsCordonedFor(machines.CordonAgentReplaced):
		return false
	case !newestBefore.Before(machines.PositionOf(h)):
		// The reply is not newer than all messages of the known agent before the call.
		v.markReplaced(m, h, "reply")
		return false
	case m.IsFromNewAgent(h):
		v.markReplaced(m, h, "token")
		return false
	}
	return !m.IsStale(h)
}

// acceptsTaskList reports whether a task list that was just applied comes from the known agent.
func (v *agentVerifier) acceptsTaskList(m *machines.Machine, h *wire.Heartbeat, listNumber uint64) bool {
	if m.HasLostTasks(listNumber) {
		v.markReplaced(m, h, "tasks")
		return false
	}
	return true
}

// recordStale records a stale heartbeat. It shows no current tasks, so it changes no attempt and renews
// no lease. After several in a row, the agent is probed.
func (v *agentVerifier) recordStale(now time.Time, m *machines.Machine, h *wire.Heartbeat) {
	m.RecordStaleHeartbeat(now)
	if m.NeedsProbe() {
		m.RequestProbe(h.AgentEpoch)
		v.calls.enqueue(m)
	}
}

// markReplaced cordons a machine whose agent was replaced, as the given evidence in a message of the new
// agent proves, so that it is released. The new agent is probed, which makes it refuse copies of
// earlier direct calls until then.
func (v *agentVerifier) markReplaced(m *machines.Machine, h *wire.Heartbeat, evidence string) {
	newest := m.NewestPosition()
	v.log.Info().Str("machine", m.ID).Str("evidence", evidence).Int("tasks", len(m.Attempts())).
		Uint64("epoch", h.AgentEpoch).Uint64("sequence", h.Sequence).Uint64("token", h.FencingToken).
		Uint64("known_epoch", newest.Epoch).Uint64("known_sequence", newest.Sequence).
		Msg("worker replaced, releasing machine")
	m.Cordon(machines.CordonAgentReplaced)
	m.RequestProbe(h.AgentEpoch)
	v.calls.enqueue(m)
}
