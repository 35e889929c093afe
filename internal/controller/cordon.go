package controller

import "switchshore.example/switchshore/internal/tuning"

// cordonReason is why a machine takes no new work.
type cordonReason uint8

// Reasons for a cordon; a machine may have several.
const (
	// drained: it is in a batch of an operators' drain.
	drained cordonReason = 1 << iota
	// consolidated: its tasks are moved, so that it can be returned.
	consolidated
	// awaitsLateStart: a start that nobody wants any more may still come late.
	awaitsLateStart
	// faulty: tasks of several jobs have failed there in a row.
	faulty
	// recalled: the cloud is about to take it.
	recalled
	// replaced: a new worker has taken the place of the one known, and counts sessions
	// anew. Only the release proves what it may hold gone.
	replaced
	// unanswered: what it is told seems not to get there.
	unanswered
)

// retiring are the reasons for which a machine is released once nothing may be on it.
const retiring = drained | consolidated | awaitsLateStart | faulty | recalled

// cordons are the reasons that hold for a machine.
type cordons struct{ reasons cordonReason }

// cordon adds a reason.
func (c *cordons) cordon(r cordonReason) { c.reasons |= r }

// uncordon takes a reason away.
func (c *cordons) uncordon(r cordonReason) { c.reasons &^= r }

// cordonedFor reports whether any of the given reasons holds.
func (c *cordons) cordonedFor(r cordonReason) bool { return c.reasons&r != 0 }

// cordoned reports whether any reason holds.
func (c *cordons) cordoned() bool { return c.reasons != 0 }

// setCordon lets a reason hold or not.
func (c *cordons) setCordon(r cordonReason, holds bool) {
	if holds {
		c.cordon(r)
	} else {
		c.uncordon(r)
	}
}

// judgeDelivery cordons a machine that what it is told seems not to get to, and lifts that
// once it does.
func (m *machine) judgeDelivery() {
	m.setCordon(unanswered, !m.answersLostAt.IsZero() || m.ignoredAnswers >= tuning.IgnoredAnswers)
}

// heeded notes that the machine has carried out a start that it was told by an answer.
func (m *machine) heeded() {
	m.ignoredAnswers = 0
	m.judgeDelivery()
}
