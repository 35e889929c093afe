package leader

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a request to a worker's own address.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	attempts []*machines.Attempt
	seq      uint64 // newest message of the session when the call was made
}

// DirectOutcome is what came of a direct call.
type DirectOutcome int

// Outcomes of direct calls.
const (
	// DirectAnswered: executed or refused, the worker's report tells which.
	DirectAnswered DirectOutcome = iota
	// DirectNotDelivered: it did not reach the worker and never will.
	DirectNotDelivered
	// DirectUnknown: it may be executed, now or minutes later.
	DirectUnknown
)

// directCalls are the machines with something to be told directly, and the calls under way.
type directCalls struct {
	queue    []*machines.Machine
	inFlight int
}

// NextDirectCalls lists the calls to be made now: starts whose record is durable, and
// stops, to machines heard of lately, so that they need not wait for the next
// report.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall {
	var calls []*DirectCall
	next := 0
	for ; next < len(l.calls.queue) && l.calls.inFlight < l.maxCalls(); next++ {
		m := l.calls.queue[next]
		m.DequeueCall()
		if !m.CanBeCalled(now, &l.timing) || l.machines.Get(m.ID) != m {
			// The answer to the next report carries it.
			continue
		}
		call := &DirectCall{Machine: m.ID, Addr: m.Addr, Request: wire.CommandRequest{FencingToken: l.term, AgentEpoch: m.Epoch()}, seq: m.Sequence()}
		open := l.acceptsWork(now, m)
		for _, a := range m.Attempts {
			if a.TakeDirectStop() {
				call.Request.Commands = append(call.Request.Commands, a.StopCommand())
				continue
			}
			if !open || !a.NeedsStart() || a.WasSentDirectly() || a.WasSentInResponse() || len(call.attempts) >= tuning.MaxCommandsPerResponse {
				continue
			}
			a.MarkSentDirectly()
			call.attempts = append(call.attempts, a)
			call.Request.Commands = append(call.Request.Commands, a.StartCommand())
		}
		if len(call.Request.Commands) > 0 {
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

// schedule puts a machine in the list of those with something to be told.
func (d *directCalls) schedule(m *machines.Machine) {
	if m.QueueCall() {
		d.queue = append(d.queue, m)
	}
}

// maxCalls bounds the direct calls under way by the sockets they may take.
func (l *Leader) maxCalls() int { return DirectSockets(l.params.Limits) }

// DirectSockets is the number of sockets for direct calls.
func DirectSockets(l config.ProcessLimits) int {
	if l.MaxConnections <= 0 {
		return tuning.DirectMaxCalls
	}
	return max(1, int(float64(l.MaxConnections)*tuning.DirectShare))
}

// DirectCallDone takes in the outcome of a direct call, with the worker's report
// if it was answered. It does not renew the worker's lease.
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
	if outcome != DirectAnswered {
		m.PauseCalls(now.Add(tuning.DirectBackoff))
		return
	}
	if r == nil || r.Machine != m.ID {
		return
	}
	if r.AgentEpoch < call.Request.AgentEpoch || r.AgentEpoch == call.Request.AgentEpoch && r.Sequence <= call.seq {
		// An answer to this very call can't be older than what was known before
		// it: a new worker has taken the place of the one known, and may have
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
