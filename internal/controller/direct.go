package controller

import (
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a request to a worker's own address.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	attempts []*attempt
	seq      uint64 // newest message of the session when the call was made
}

// DirectOutcome is what came of a direct call.
type DirectOutcome int

// Outcomes of direct calls.
const (
	// DirectAnswered: executed or refused, the worker's report tells which.
	DirectAnswered DirectOutcome = iota
	// DirectNever: it did not reach the worker and never will.
	DirectNever
	// DirectUnknown: it may be executed, now or minutes later.
	DirectUnknown
)

// directCalls are the machines with something to be told directly, and the calls under way.
type directCalls struct {
	callQueue     []*machine
	callsInFlight int
}

// Direct lists the calls to be made now: starts whose record is durable, and
// stops, to machines heard of lately, so that they need not wait for the next
// report.
func (c *Controller) Direct(now time.Time) []*DirectCall {
	var calls []*DirectCall
	next := 0
	for ; next < len(c.callQueue) && c.callsInFlight < c.maxCalls(); next++ {
		m := c.callQueue[next]
		m.queued = false
		if m.calling || m.addr == "" || now.Before(m.callAfter) || !m.confirmed || m.cordonedFor(unanswered) || c.isSilent(now, m) || c.machines[m.id] != m {
			// The answer to the next report carries it.
			continue
		}
		call := &DirectCall{Machine: m.id, Addr: m.addr, Request: wire.CommandRequest{Token: c.term, Session: m.session}, seq: m.sequence}
		open := c.acceptsWork(now, m)
		for _, a := range m.attempts {
			if a.stop && a.state >= fetching && !a.stopSent {
				// A late stop does no harm: attempts are never reused.
				a.stopSent = true
				call.Request.Commands = append(call.Request.Commands, a.stopCommand())
				continue
			}
			if !open || a.state != startSent || !a.wanted() || a.direct || a.sentSeq != 0 || len(call.attempts) >= tuning.AnswerCommands {
				continue
			}
			a.direct = true
			call.attempts = append(call.attempts, a)
			call.Request.Commands = append(call.Request.Commands, a.startCommand())
		}
		if len(call.Request.Commands) > 0 {
			m.calling = true
			c.callsInFlight++
			calls = append(calls, call)
		}
	}
	c.callQueue = c.callQueue[next:]
	if len(c.callQueue) == 0 {
		c.callQueue = nil
	}
	return calls
}

// scheduleCall puts a machine in the list of those with something to be told.
func (d *directCalls) scheduleCall(m *machine) {
	if !m.queued {
		m.queued = true
		d.callQueue = append(d.callQueue, m)
	}
}

// maxCalls bounds the direct calls under way by the sockets they may take.
func (c *Controller) maxCalls() int { return DirectSockets(c.params.Limits) }

// DirectSockets is the number of sockets for direct calls.
func DirectSockets(l config.Limits) int {
	if l.MaxConnections <= 0 {
		return tuning.DirectCalls
	}
	return max(1, int(float64(l.MaxConnections)*tuning.DirectShare))
}

// DirectDone takes in the outcome of a direct call, with the worker's report
// if it was answered. It does not renew the worker's lease.
func (c *Controller) DirectDone(now time.Time, call *DirectCall, outcome DirectOutcome, r *wire.Report) {
	if outcome != DirectUnknown {
		for _, a := range call.attempts {
			a.direct = false
		}
	}
	c.callsInFlight--
	m := c.machines[call.Machine]
	if m == nil {
		return
	}
	m.calling = false
	c.scheduleCall(m)
	if outcome != DirectAnswered {
		m.callAfter = now.Add(tuning.DirectPause)
		return
	}
	if r == nil || r.Machine != m.id {
		return
	}
	if r.Session < call.Request.Session || r.Session == call.Request.Session && r.Seq <= call.seq {
		// An answer to this very call can't be older than what was known before
		// it: a new worker has taken the place of the one known, and may have
		// carried the starts out.
		c.log.Info().Str("machine", m.id).Msg("worker replaced, releasing")
		m.cordon(replaced)
		return
	}
	if r.Token != c.term || m.isStale(r) {
		return
	}
	c.advanceSequence(m, r)
	c.applyReport(now, m, r, false)
}
