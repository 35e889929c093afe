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
	Machine string // ID of the machine
	Addr    string // the agent's address
	Request wire.CommandRequest

	startedAttempts []*machines.Attempt // attempts whose start is in the request
	newestSequence  uint64              // sequence number of the agent's newest message when the call was made
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

// directCalls holds the state of the direct calls to all machines.
type directCalls struct {
	queue    []*machines.Machine // machines for which commands may be due
	inFlight int                 // number of calls without an outcome yet
}

// NextDirectCalls returns the direct calls to be made now, so that commands need not wait for the
// next heartbeat. It returns calls only to machines whose heartbeats arrive on time. A call
// contains the stops that are due and the starts whose start record is durable.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall {
	var calls []*DirectCall
	handled := 0
	for ; handled < len(l.directCalls.queue) && l.directCalls.inFlight < l.maxCallsInFlight(); handled++ {
		m := l.directCalls.queue[handled]
		m.MarkCallDequeued()
		if !m.CanBeCalled(now, &l.timing) || l.machines.Get(m.ID) != m {
			// If the machine still exists, the commands are sent in the response to its next heartbeat.
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

// newDirectCall returns a call to a machine. It contains the machine's stops that no direct call has
// contained yet, and its starts that were sent neither by a direct call nor in a response.
func (l *Leader) newDirectCall(now time.Time, m *machines.Machine) *DirectCall {
	call := &DirectCall{
		Machine:        m.ID,
		Addr:           m.Addr,
		Request:        wire.CommandRequest{FencingToken: m.FencingToken(l.term), AgentEpoch: m.Epoch()},
		newestSequence: m.Sequence(),
	}
	schedulable := m.IsSchedulable(now, &l.timing)
	for _, a := range m.Attempts() {
		if a.TryMarkDirectStopSent() {
			call.Request.Commands = append(call.Request.Commands, a.StopCommand())
			continue
		}
		if !schedulable || !a.NeedsStart() || a.DirectStartMayArrive() || a.ResponseStartMayTakeEffect() || len(call.startedAttempts) >= tuning.MaxCommandsPerMessage {
			continue
		}
		a.MarkDirectStartSent()
		call.startedAttempts = append(call.startedAttempts, a)
		call.Request.Commands = append(call.Request.Commands, a.StartCommand())
	}
	return call
}

// enqueue adds a machine to the queue for direct calls, unless it is in the queue already.
func (d *directCalls) enqueue(m *machines.Machine) {
	if m.TryQueueCall() {
		d.queue = append(d.queue, m)
	}
}

// maxCallsInFlight returns the maximum number of direct calls in flight of this process.
func (l *Leader) maxCallsInFlight() int { return DirectCallLimit(l.params.Limits) }

// DirectCallLimit returns the maximum number of direct calls in flight of a process with the given
// limits: a share of the connection limit, or tuning.MaxDirectCalls if there is no such limit.
func DirectCallLimit(limits config.ProcessLimits) int {
	if limits.MaxConnections <= 0 {
		return tuning.MaxDirectCalls
	}
	return max(1, int(float64(limits.MaxConnections)*tuning.DirectCallConnectionShare))
}

// FinishDirectCall applies the outcome of a direct call. h is the heartbeat in the agent's reply,
// or nil without a reply. The reply does not renew the machine's lease, only a periodic heartbeat
// does.
func (l *Leader) FinishDirectCall(now time.Time, call *DirectCall, outcome DirectCallOutcome, h *wire.Heartbeat) {
	if outcome != DirectCallUncertain {
		// The starts were executed, refused or not delivered, so they can no longer arrive late.
		for _, a := range call.startedAttempts {
			a.RuleOutDirectStart()
		}
	}
	l.directCalls.inFlight--
	m := l.machines.Get(call.Machine)
	if m == nil {
		return
	}
	m.EndCall()
	// Commands that became due during the call have not been sent, so the machine is queued again.
	l.directCalls.enqueue(m)
	if outcome != DirectCallReplied {
		m.DelayCalls(now.Add(tuning.DirectCallBackoff))
		return
	}
	if h == nil || h.Machine != m.ID {
		return
	}
	if h.AgentEpoch < call.Request.AgentEpoch || h.AgentEpoch == call.Request.AgentEpoch && h.Sequence <= call.newestSequence {
		// The reply is not newer than all messages of the known agent before the call. So it comes
		// from a new agent, which has replaced the known one and counts its epochs from the start
		// again. Only the release of the machine proves that the tasks of the known agent have ended.
		l.log.Info().Str("machine", m.ID).Msg("worker replaced, releasing machine")
		m.Cordon(machines.CordonAgentReplaced)
		return
	}
	if !l.fencingTokens.contains(h.FencingToken) || m.IsStale(h) {
		return
	}
	m.AdvanceSession(h.AgentEpoch, h.Sequence)
	l.reconcileTasks(now, m, h, false) // not a periodic heartbeat
}
