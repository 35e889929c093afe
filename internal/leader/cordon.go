package leader

import "switchshore.example/switchshore/internal/tuning"

// cordonReason is why a machine takes no new work.
type cordonReason uint8

// Reasons for a cordon; a machine may have several.
const (
	// cordonDrained: it is in a batch of an operators' drain.
	cordonDrained cordonReason = 1 << iota
	// cordonConsolidated: its tasks are moved, so that it can be returned.
	cordonConsolidated
	// cordonLateStart: a start that nobody wants any more may still come late.
	cordonLateStart
	// cordonFaulty: tasks of several jobs have failed there in a row.
	cordonFaulty
	// cordonReclaimed: the cloud is about to take it.
	cordonReclaimed
	// cordonReplaced: a new worker has taken the place of the one known, and counts sessions
	// anew. Only the release proves what it may hold gone.
	cordonReplaced
	// cordonUnresponsive: what it is told seems not to get there.
	cordonUnresponsive
)

// cordonsRetiring are the reasons for which a machine is released once nothing may be on it.
const cordonsRetiring = cordonDrained | cordonConsolidated | cordonLateStart | cordonFaulty | cordonReclaimed

// cordonSet are the reasons that hold for a machine.
type cordonSet struct{ reasons cordonReason }

// cordon adds a reason.
func (c *cordonSet) cordon(r cordonReason) { c.reasons |= r }

// uncordon takes a reason away.
func (c *cordonSet) uncordon(r cordonReason) { c.reasons &^= r }

// cordonedFor reports whether any of the given reasons holds.
func (c *cordonSet) cordonedFor(r cordonReason) bool { return c.reasons&r != 0 }

// cordoned reports whether any reason holds.
func (c *cordonSet) cordoned() bool { return c.reasons != 0 }

// setCordon lets a reason hold or not.
func (c *cordonSet) setCordon(r cordonReason, holds bool) {
	if holds {
		c.cordon(r)
	} else {
		c.uncordon(r)
	}
}

// updateDeliveryCordon cordons a machine that what it is told seems not to get to, and lifts that
// once it does.
func (m *machine) updateDeliveryCordon() {
	m.setCordon(cordonUnresponsive, !m.responsesLostSince.IsZero() || m.ignoredResponses >= tuning.MaxIgnoredResponses)
}

// recordStartObserved notes that the machine has carried out a start that it was told by an answer.
func (m *machine) recordStartObserved() {
	m.ignoredResponses = 0
	m.updateDeliveryCordon()
}
