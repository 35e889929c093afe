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

	startedAttempts []*machines.Attempt      // attempts whose start is in the request
	newestBefore    machines.MessagePosition // of the agent's newest message when the call was made
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

// directCalls holds the state of the direct calls to all machines, and decides which to make.
type directCalls struct {
	machines    *machines.Registry
	timing      *machines.Timing
	tokens      *fencingTokens
	maxInFlight int                 // maximum number of calls in flight
	queue       []*machines.Machine // machines for which commands may be due
	inFlight    int                 // number of calls without an outcome yet
}

// NextDirectCalls returns the direct calls to be made now, so that commands need not wait for the
// next heartbeat. It returns calls only to machines whose heartbeats arrive on time. A call
// contains the stops that are due and the starts whose start record is durable.
func (l *Leader) NextDirectCalls(now time.Time) []*DirectCall { return l.directCalls.next(now) }

// next implements Leader.NextDirectCalls.
func (d *directCalls) next(now time.Time) []*DirectCall {
	var calls []*DirectCall
	handled := 0
	for ; handled < len(d.queue) && d.inFlight < d.maxInFlight; handled++ {
		m := d.queue[handled]
		m.MarkCallDequeued()
		if d.machines.Get(m.ID) != m {
			continue
		}
		// If there is no call now, the commands are sent in the response to the machine's next heartbeat.
		if call := d.nextCallTo(now, m); call != nil {
			m.BeginCall()
			d.inFlight++
			calls = append(calls, call)
		}
	}
	d.queue = d.queue[handled:]
	if len(d.queue) == 0 {
		d.queue = nil
	}
	return calls
}

// nextCallTo returns the call that is to be made to a machine now, or nil.
func (d *directCalls) nextCallTo(now time.Time, m *machines.Machine) *DirectCall {
	switch {
	case m.CanBeProbed(now):
		return d.newProbe(m)
	case m.CanBeCalled(now, d.timing):
		if call := d.newDirectCall(now, m); len(call.Request.Commands) > 0 {
			return call
		}
	}
	return nil
}

// newProbe returns a call without commands, whose fencing token is higher than that of all direct calls
// with starts before.
func (d *directCalls) newProbe(m *machines.Machine) *DirectCall {
	d.tokens.fenceDirectStarts(m) // fails only while no token is reserved; the present one voids those of earlier terms
	call := d.newCallTo(m)
	call.Request.AgentEpoch = m.ProbeEpoch()
	return call
}

// newCallTo returns a call to a machine without commands.
func (d *directCalls) newCallTo(m *machines.Machine) *DirectCall {
	return &DirectCall{
		Machine:      m.ID,
		Addr:         m.Addr,
		Request:      wire.CommandRequest{FencingToken: m.FencingToken(d.tokens.first), AgentEpoch: m.Epoch(), Commands: []wire.Command{}},
		newestBefore: m.NewestPosition(),
	}
}

// newDirectCall returns a call to a machine. It contains the machine's stops that no direct call has
// contained yet, and its starts that were sent neither by a direct call nor in a response.
func (d *directCalls) newDirectCall(now time.Time, m *machines.Machine) *DirectCall {
	call := d.newCallTo(m)
	schedulable := m.IsSchedulable(now, d.timing)
	for _, a := range m.Attempts() {
		if a.TryMarkDirectStopSent() {
			call.Request.Commands = append(call.Request.Commands, a.StopCommand())
			continue
		}
		if !schedulable || !a.NeedsStart() || a.DirectStartMayArrive() || a.ResponseStartMayTakeEffect() || len(call.startedAttempts) >= tuning.MaxCommandsPerMessage {
			continue
		}
		a.MarkDirectStartSent(now)
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
	replied := outcome == DirectCallReplied && h != nil && h.Machine == call.Machine
	if replied || outcome == DirectCallNotDelivered {
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
	if !replied {
		m.DelayCalls(now.Add(tuning.DirectCallBackoff))
		return
	}
	if !l.verifier.acceptsReply(m, h, call.newestBefore) || !l.fencingTokens.contains(h.FencingToken) {
		return
	}
	m.AdvanceSession(h)
	l.reconcileTasks(now, m, h, false) // not a periodic heartbeat
}
