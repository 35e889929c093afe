package machines

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// MessagePosition orders the messages of one agent.
type MessagePosition struct {
	Epoch, Sequence uint64
}

// PositionOf returns the position of a message.
func PositionOf(h *wire.Heartbeat) MessagePosition {
	return MessagePosition{Epoch: h.AgentEpoch, Sequence: h.Sequence}
}

// Before reports whether p precedes other.
func (p MessagePosition) Before(other MessagePosition) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Sequence < other.Sequence
}

// agentIdentity holds what the leader knows of the agent that distinguishes it from one that replaces it
// when the machine restarts. Such an agent counts its epochs and sequence numbers from the start again,
// and has seen no fencing token, so it would execute copies of direct calls to the earlier agent.
// Its numbers alone can't tell it from the earlier agent: they are those of a late copy at first, and may
// catch up. But the fencing token of an agent never decreases.
type agentIdentity struct {
	token   uint64          // highest fencing token that a message has reported
	tokenAt MessagePosition // of the first message with that token
	// probeEpoch is the epoch of the agent to which a probe is to be sent, 0 if no probe is requested.
	probeEpoch uint64
}

// recordToken records the fencing token that an accepted message reports.
func (i *agentIdentity) recordToken(h *wire.Heartbeat) {
	if h.FencingToken > i.token {
		i.token, i.tokenAt = h.FencingToken, PositionOf(h)
	}
}

// IsFromNewAgent reports whether a message certainly comes from an agent that has replaced the known
// one: it is not older than a message with a higher fencing token. It is false for copies of messages of
// the known agent, however late.
func (i *agentIdentity) IsFromNewAgent(h *wire.Heartbeat) bool {
	return h.FencingToken < i.token && !PositionOf(h).Before(i.tokenAt)
}

// RequestProbe requests a direct call without commands to an agent of the given epoch. It makes the agent
// refuse copies of earlier direct calls, and the position of its reply shows whether it is the known one.
func (i *agentIdentity) RequestProbe(epoch uint64) { i.probeEpoch = epoch }

// EndProbe records that the agent has replied to a call.
func (i *agentIdentity) EndProbe() { i.probeEpoch = 0 }

// ProbeEpoch returns the epoch of the agent to be probed.
func (i *agentIdentity) ProbeEpoch() uint64 { return i.probeEpoch }

// CanBeProbed reports whether a probe is requested and may begin now.
func (m *Machine) CanBeProbed(now time.Time) bool {
	return m.probeEpoch != 0 && !m.callInProgress && m.Addr != "" && !now.Before(m.callAfter)
}

// NeedsProbe reports whether the latest heartbeats are all stale. They are late copies, or come from an
// agent that has replaced the known one.
func (m *Machine) NeedsProbe() bool { return m.staleHeartbeats >= tuning.ProbeStaleHeartbeats }

// HasLostTasks reports whether the newest task list lacks an attempt that an earlier list of the same
// session contained. An agent lists its tasks until it is told to forget them, or until its session ends.
// So the list comes from an agent that has replaced the known one.
func (m *Machine) HasLostTasks(listNumber uint64) bool {
	for _, a := range m.attempts {
		if a.state.IsReported() && a.listedInEpoch == m.epoch && !a.IsInTaskList(listNumber) {
			return true
		}
	}
	return false
}
