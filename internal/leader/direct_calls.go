package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a request with commands that the leader sends to an agent's own address, without
// waiting for the agent's next heartbeat.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	startedAttempts []*machines.Attempt // attempts whose start is in the request
	sequenceBefore  uint64              // sequence number of the session's newest message when the call was made
}

// DirectCallOutcome is the outcome of a direct call.
type DirectCallOutcome int

// Outcomes of direct calls.
const (
	// DirectCallReplied: the agent has executed or refused each command. The heartbeat in its reply
	// shows the result.
	DirectCallReplied DirectCallOutcome = iota
	// DirectCallNotDelivered: the request has not reached the agent and never will.
	DirectCallNotDelivered
	// DirectCallUncertain: the agent may have executed the commands, or may execute them up to
	// minutes later.
	DirectCallUncertain
)

// directCalls holds the queue of machines to be called and the number of calls in flight.
type directCalls struct {
	queue    []*machines.Machine
	inFlight int
}

// NextDirectCalls returns the calls to be made now. They contain stops, and starts whose record is
// durable, for machines whose heartbeats arrive. The commands thus need not wait for the next
// heartbeat.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall {
	var calls []*DirectCall
	handled := 0
	for ; handled < len(l.directCalls.queue) && l.directCalls.inFlight < l.maxDirectCalls(); handled++ {
		m := l.directCalls.queue[handled]
		m.DequeueCall()
		if !m.CanBeCalled(now, &l.timing) || l.machines.Get(m.ID) != m {
			// The response to the next heartbeat carries the commands.
			continue
		}
		if call := l.newDirectCall(now, m); len(call.Request.Commands) > 0 {
			m.BeginCall()
			l.directCalls.inFlight++
			calls = append(calls, call)
		}
	}
	l.directCalls.queue = l.directCalls.queue[handled:]
	if len(l.directCalls.queue) == 0 {
		l.directCalls.queue = nil
	}
	return calls
}

// newDirectCall returns a call with the stops and starts for a machine that have not been sent yet.
func (l *Leader) newDirectCall(now time.Time, m *machines.Machine) *DirectCall {
	call := &DirectCall{
		Machine:        m.ID,
		Addr:           m.Addr,
		Request:        wire.CommandRequest{FencingToken: l.term, AgentEpoch: m.Epoch()},
		sequenceBefore: m.Sequence(),
	}
	schedulable := m.IsSchedulable(now, &l.timing)
	for _, a := range m.Attempts() {
		if a.MarkDirectStopIfNeeded() {
			call.Request.Commands = append(call.Request.Commands, a.StopCommand())
			continue
		}
		if !schedulable || !a.NeedsStart() || a.StartSentDirectly() || a.StartSentInResponse() || len(call.startedAttempts) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkStartSentDirectly()
		call.startedAttempts = append(call.startedAttempts, a)
		call.Request.Commands = append(call.Request.Commands, a.StartCommand())
	}
	return call
}

// enqueue adds a machine to the queue for direct calls, unless it is in the queue already.
func (d *directCalls) enqueue(m *machines.Machine) {
	if m.QueueCall() {
		d.queue = append(d.queue, m)
	}
}

// maxDirectCalls returns the maximum number of direct calls in flight.
func (l *Leader) maxDirectCalls() int { return MaxDirectCalls(l.params.Limits) }

// MaxDirectCalls returns the maximum number of direct calls in flight: a share of the process's
// connection limit, or tuning.DirectMaxCalls if there is no limit.
func MaxDirectCalls(limits config.ProcessLimits) int {
	if limits.MaxConnections <= 0 {
		return tuning.DirectMaxCalls
	}
	return max(1, int(float64(limits.MaxConnections)*tuning.DirectSocketShare))
}

// FinishDirectCall applies the outcome of a direct call. h is the heartbeat in the agent's reply,
// or nil without a reply. A reply does not renew the agent's lease.
func (l *Leader) FinishDirectCall(now time.Time, call *DirectCall, outcome DirectCallOutcome, h *wire.Heartbeat) {
	if outcome != DirectCallUncertain {
		for _, a := range call.startedAttempts {
			a.ClearStartSentDirectly()
		}
	}
	l.directCalls.inFlight--
	m := l.machines.Get(call.Machine)
	if m == nil {
		return
	}
	m.EndCall()
	l.directCalls.enqueue(m)
	if outcome != DirectCallReplied {
		m.DelayCalls(now.Add(tuning.DirectBackoff))
		return
	}
	if h == nil || h.Machine != m.ID {
		return
	}
	if h.AgentEpoch < call.Request.AgentEpoch || h.AgentEpoch == call.Request.AgentEpoch && h.Sequence <= call.sequenceBefore {
		// A reply of the known agent would be newer than the messages received before the call was
		// made. So a new agent has replaced it, and may have executed the starts.
		l.log.Info().Str("machine", m.ID).Msg("worker replaced, releasing machine")
		m.Cordon(machines.CordonAgentReplaced)
		return
	}
	if h.FencingToken != l.term || m.IsStale(h) {
		return
	}
	m.AdvanceSession(h.AgentEpoch, h.Sequence)
	l.reconcileTasks(now, m, h, false) // not a periodic heartbeat
}
