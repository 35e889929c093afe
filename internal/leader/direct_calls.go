package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a request to an agent's own address.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	attempts []*machines.Attempt // those whose start it carries
	sequence uint64              // newest message of the session when the call was made
}

// DirectOutcome is what came of a direct call.
type DirectOutcome int

// Outcomes of direct calls.
const (
	// DirectReplied: executed or refused, as the agent's heartbeat shows.
	DirectReplied DirectOutcome = iota
	// DirectNotDelivered: it did not reach the agent and never will.
	DirectNotDelivered
	// DirectUnknown: it may be executed, now or minutes later.
	DirectUnknown
)

// directCalls are the machines to be called, and the number of calls under way.
type directCalls struct {
	queue    []*machines.Machine
	inFlight int
}

// NextDirectCalls lists the calls to be made now, with starts whose record is durable, and
// stops: to machines whose heartbeats arrive, so that they need not wait for the next one.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall {
	var calls []*DirectCall
	next := 0
	for ; next < len(l.calls.queue) && l.calls.inFlight < l.maxCalls(); next++ {
		m := l.calls.queue[next]
		m.DequeueCall()
		if !m.CanBeCalled(now, &l.timing) || l.machines.Get(m.ID) != m {
			// The response to the next heartbeat carries the commands.
			continue
		}
		if call := l.directCall(now, m); len(call.Request.Commands) > 0 {
			m.BeginCall()
			l.calls.inFlight++
			calls = append(calls, call)
		}
	}
	l.calls.queue = l.calls.queue[next:]
	if len(l.calls.queue) == 0 {
		l.calls.queue = nil
	}
	return calls
}

// directCall is a call with the commands for a machine that have not been sent.
func (l *Leader) directCall(now time.Time, m *machines.Machine) *DirectCall {
	call := &DirectCall{
		Machine:  m.ID,
		Addr:     m.Addr,
		Request:  wire.CommandRequest{FencingToken: l.term, AgentEpoch: m.Epoch()},
		sequence: m.Sequence(),
	}
	acceptsWork := m.AcceptsWork(now, &l.timing)
	for _, a := range m.Attempts() {
		if a.TakeDirectStop() {
			call.Request.Commands = append(call.Request.Commands, a.StopCommand())
			continue
		}
		if !acceptsWork || !a.NeedsStart() || a.WasSentDirectly() || a.WasSentInResponse() || len(call.attempts) >= tuning.MaxCommandsPerResponse {
			continue
		}
		a.MarkSentDirectly()
		call.attempts = append(call.attempts, a)
		call.Request.Commands = append(call.Request.Commands, a.StartCommand())
	}
	return call
}

// schedule has a machine called.
func (d *directCalls) schedule(m *machines.Machine) {
	if m.QueueCall() {
		d.queue = append(d.queue, m)
	}
}

// maxCalls bounds the direct calls under way by the sockets they may take.
func (l *Leader) maxCalls() int { return DirectCallSockets(l.params.Limits) }

// DirectCallSockets is the number of sockets for direct calls.
func DirectCallSockets(l config.ProcessLimits) int {
	if l.MaxConnections <= 0 {
		return tuning.DirectMaxCalls
	}
	return max(1, int(float64(l.MaxConnections)*tuning.DirectShare))
}

// DirectCallDone applies the outcome of a direct call, with the agent's heartbeat
// if it was answered. It does not renew the agent's lease.
func (l *Leader) DirectCallDone(now time.Time, call *DirectCall, outcome DirectOutcome, r *wire.Heartbeat) {
	if outcome != DirectUnknown {
		for _, a := range call.attempts {
			a.MarkDirectCallOver()
		}
	}
	l.calls.inFlight--
	m := l.machines.Get(call.Machine)
	if m == nil {
		return
	}
	m.EndCall()
	l.calls.schedule(m)
	if outcome != DirectReplied {
		m.PauseCalls(now.Add(tuning.DirectBackoff))
		return
	}
	if r == nil || r.Machine != m.ID {
		return
	}
	if r.AgentEpoch < call.Request.AgentEpoch || r.AgentEpoch == call.Request.AgentEpoch && r.Sequence <= call.sequence {
		// The reply to this very call can't be older than what was known before
		// it: a new agent has taken the place of the one known, and may have
		// carried the starts out.
		l.log.Info().Str("machine", m.ID).Msg("worker replaced, releasing machine")
		m.Cordon(machines.CordonReplaced)
		return
	}
	if r.FencingToken != l.term || m.IsStale(r) {
		return
	}
	m.AdvanceSession(r.AgentEpoch, r.Sequence)
	l.reconcileTasks(now, m, r, false)
}
