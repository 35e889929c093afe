package machines

import (
	"switchshore.example/switchshore/internal/tuning"
)

// CordonReason is why a machine takes no new work.
type CordonReason uint8

// Reasons for a cordon; a machine may have several.
const (
	// CordonDrained: it is in a batch of an operators' drain.
	CordonDrained CordonReason = 1 << iota
	// CordonConsolidated: its tasks are moved, so that it can be returned.
	CordonConsolidated
	// CordonLateStart: a start that nobody wants any more may still come late.
	CordonLateStart
	// CordonFaulty: tasks of several jobs have failed there in a row.
	CordonFaulty
	// CordonReclaimed: the cloud is about to take it.
	CordonReclaimed
	// CordonReplaced: a new worker has taken the place of the one known, and counts sessions
	// anew. Only the release proves what it may hold gone.
	CordonReplaced
	// CordonUnresponsive: what it is told seems not to get there.
	CordonUnresponsive
)

// RetiringReasons are the reasons for which a machine is released once nothing may be on it.
const RetiringReasons = CordonDrained | CordonConsolidated | CordonLateStart | CordonFaulty | CordonReclaimed

// cordonSet are the reasons that hold for a machine.
type cordonSet struct{ reasons CordonReason }

// Cordon adds a reason.
func (c *cordonSet) Cordon(r CordonReason) { c.reasons |= r }

// Uncordon takes a reason away.
func (c *cordonSet) Uncordon(r CordonReason) { c.reasons &^= r }

// CordonedFor reports whether any of the given reasons holds.
func (c *cordonSet) CordonedFor(r CordonReason) bool { return c.reasons&r != 0 }

// Cordoned reports whether any reason holds.
func (c *cordonSet) Cordoned() bool { return c.reasons != 0 }

// SetCordon lets a reason hold or not.
func (c *cordonSet) SetCordon(r CordonReason, holds bool) {
	if holds {
		c.Cordon(r)
	} else {
		c.Uncordon(r)
	}
}

// UpdateDeliveryCordon cordons a machine that what it is told seems not to get to, and lifts that
// once it does.
func (m *Machine) UpdateDeliveryCordon() {
	m.SetCordon(CordonUnresponsive, !m.ResponsesLostSince.IsZero() || m.IgnoredResponses >= tuning.MaxIgnoredResponses)
}

// RecordStartObserved notes that the machine has carried out a start that it was told by an answer.
func (m *Machine) RecordStartObserved() {
	m.IgnoredResponses = 0
	m.UpdateDeliveryCordon()
}
