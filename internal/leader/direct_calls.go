package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a command request sent to an agent's own address.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	startedAttempts []*machines.Attempt // attempts whose start the call carries
	sequence        uint64              // newest message of the session when the call was made
}

// DirectOutcome is the outcome of a direct call.
type DirectOutcome int

// Outcomes of direct calls.
const (
	// DirectReplied: the agent has executed or refused the commands, as the heartbeat in its
	// reply shows.
	DirectReplied DirectOutcome = iota
	// DirectNotDelivered: the call did not reach the agent and never will.
	DirectNotDelivered
	// DirectUnknown: the agent may execute the commands, now or minutes later.
	DirectUnknown
)

// directCalls holds the machines to be called and the number of calls in flight.
type directCalls struct {
	queue    []*machines.Machine
	inFlight int
}

// NextDirectCalls returns the calls to be made now. They carry stops, and starts whose record is
// durable, to machines whose heartbeats arrive, so that the commands need not wait for the next
// heartbeat.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall {
	var calls []*DirectCall
	next := 0
	for ; next < len(l.directCalls.queue) && l.directCalls.inFlight < l.maxDirectCalls(); next++ {
		m := l.directCalls.queue[next]
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
	l.directCalls.queue = l.directCalls.queue[next:]
	if len(l.directCalls.queue) == 0 {
		l.directCalls.queue = nil
	}
	return calls
}

// newDirectCall returns a call with the commands for a machine that have not been sent yet.
func (l *Leader) newDirectCall(now time.Time, m *machines.Machine) *DirectCall {
	call := &DirectCall{
		Machine:  m.ID,
		Addr:     m.Addr,
		Request:  wire.CommandRequest{FencingToken: l.term, AgentEpoch: m.Epoch()},
		sequence: m.Sequence(),
	}
	acceptsWork := m.IsSchedulable(now, &l.timing)
	for _, a := range m.Attempts() {
		if a.ClaimDirectStop() {
			call.Request.Commands = append(call.Request.Commands, a.StopCommand())
			continue
		}
		if !acceptsWork || !a.NeedsStart() || a.WasSentDirectly() || a.WasSentInResponse() || len(call.startedAttempts) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkSentDirectly()
		call.startedAttempts = append(call.startedAttempts, a)
		call.Request.Commands = append(call.Request.Commands, a.StartCommand())
	}
	return call
}

// schedule queues a machine for a direct call.
func (d *directCalls) schedule(m *machines.Machine) {
	if m.QueueCall() {
		d.queue = append(d.queue, m)
	}
}

// maxDirectCalls limits the direct calls in flight to the sockets available for them.
func (l *Leader) maxDirectCalls() int { return DirectCallSockets(l.params.Limits) }

// DirectCallSockets returns the number of sockets available for direct calls.
func DirectCallSockets(l config.ProcessLimits) int {
	if l.MaxConnections <= 0 {
		return tuning.MaxDirectCalls
	}
	return max(1, int(float64(l.MaxConnections)*tuning.DirectCallSocketShare))
}

// DirectCallDone applies the outcome of a direct call, with the heartbeat in the agent's reply
// if there is one. It does not renew the agent's lease.
func (l *Leader) DirectCallDone(now time.Time, call *DirectCall, outcome DirectOutcome, r *wire.Heartbeat) {
	if outcome != DirectUnknown {
		for _, a := range call.startedAttempts {
			a.ClearSentDirectly()
		}
	}
	l.directCalls.inFlight--
	m := l.machines.Get(call.Machine)
	if m == nil {
		return
	}
	m.EndCall()
	l.directCalls.schedule(m)
	if outcome != DirectReplied {
		m.PauseCalls(now.Add(tuning.DirectCallBackoff))
		return
	}
	if r == nil || r.Machine != m.ID {
		return
	}
	if r.AgentEpoch < call.Request.AgentEpoch || r.AgentEpoch == call.Request.AgentEpoch && r.Sequence <= call.sequence {
		// A reply can't be older than the messages received before its call was made: a new
		// agent has replaced the known one, and may have executed the starts.
		l.log.Info().Str("machine", m.ID).Msg("worker replaced, releasing machine")
		m.Cordon(machines.CordonAgentReplaced)
		return
	}
	if r.FencingToken != l.term || m.IsStale(r) {
		return
	}
	m.AdvanceSession(r.AgentEpoch, r.Sequence)
	l.reconcileTasks(now, m, r, false)
}
