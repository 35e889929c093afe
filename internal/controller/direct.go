package controller

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// DirectCall is a request to a worker's own address.
type DirectCall struct {
	Machine string
	Addr    string
	Request wire.CommandRequest

	attempts []*attempt
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

// Direct lists the calls to be made now: starts whose record is durable, and
// stops, to machines heard of lately, so that they need not wait for the next
// report.
func (c *Controller) Direct(now time.Time) []*DirectCall {
	if !c.orders {
		return nil
	}
	c.orders = false
	var calls []*DirectCall
	for _, m := range c.sortedMachines() {
		if m.calling || m.addr == "" || now.Before(m.callAfter) || !c.open(now, m) {
			continue
		}
		call := &DirectCall{Machine: m.id, Addr: m.addr, Request: wire.CommandRequest{Token: c.term, Session: m.session}}
		for _, k := range sortedTasks(m) {
			a := m.attempts[k]
			if a.stop && a.state >= fetching && !a.stopSent {
				// A late stop does no harm: attempts are never reused.
				a.stopSent = true
				call.Request.Commands = append(call.Request.Commands, a.stopCommand(k))
				continue
			}
			if a.state != ordered || !a.wanted(k) || a.direct || a.sentSeq != 0 || len(call.attempts) >= tuning.AnswerCommands {
				continue
			}
			a.direct = true
			call.attempts = append(call.attempts, a)
			call.Request.Commands = append(call.Request.Commands, a.startCommand(k))
		}
		if len(call.Request.Commands) > 0 {
			m.calling = true
			calls = append(calls, call)
		}
	}
	return calls
}

// DirectDone takes in the outcome of a direct call, with the worker's report
// if it was answered. It does not renew the worker's lease.
func (c *Controller) DirectDone(now time.Time, call *DirectCall, outcome DirectOutcome, r *wire.Report) {
	if outcome != DirectUnknown {
		for _, a := range call.attempts {
			a.direct = false
		}
	}
	m := c.machines[call.Machine]
	if m == nil {
		return
	}
	m.calling = false
	c.orders = true
	if outcome != DirectAnswered {
		m.callAfter = now.Add(tuning.DirectPause)
		return
	}
	if r == nil || r.Machine != m.id || r.Token != c.term || m.old(r) {
		return
	}
	c.newer(m, r)
	c.take(now, m, r, false)
}
