package machines

import "switchshore.example/switchshore/internal/tuning"

// CordonReason is why a machine takes no new work.
type CordonReason uint8

// Reasons for a cordon; a machine may have several. The first ones are set by Cordon, the last
// three follow from what is known of the machine.
const (
	// CordonDrained: it is in a batch of an operators' drain.
	CordonDrained CordonReason = 1 << iota
	// CordonConsolidated: its tasks are moved, so that it can be released.
	CordonConsolidated
	// CordonLateStart: a start of a task that is not to run any more may still come late.
	CordonLateStart
	// CordonAgentReplaced: a new agent has taken the place of the one known, and counts sessions
	// anew. Only the release proves that what it may run has ended.
	CordonAgentReplaced
	// CordonFaulty: tasks of several jobs have failed there in a row.
	CordonFaulty
	// CordonReclaimed: the cloud is about to take it.
	CordonReclaimed
	// CordonUnresponsive: what it is sent seems not to get there.
	CordonUnresponsive
)

// ReleaseWhenEmptyReasons are the reasons for which a machine is released once nothing may be on it.
const ReleaseWhenEmptyReasons = CordonDrained | CordonConsolidated | CordonLateStart | CordonFaulty | CordonReclaimed

// Cordon adds a reason that does not follow from what is known of the machine.
func (m *Machine) Cordon(r CordonReason) { m.cordons |= r }

// Uncordon takes such a reason away.
func (m *Machine) Uncordon(r CordonReason) { m.cordons &^= r }

// SetCordon lets such a reason hold or not.
func (m *Machine) SetCordon(r CordonReason, holds bool) {
	if holds {
		m.Cordon(r)
	} else {
		m.Uncordon(r)
	}
}

// CordonReasons are all reasons that hold.
func (m *Machine) CordonReasons() CordonReason {
	reasons := m.cordons
	if m.isFaulty() {
		reasons |= CordonFaulty
	}
	if !m.reclaimAt.IsZero() {
		reasons |= CordonReclaimed
	}
	if !m.responsesLostSince.IsZero() || m.ignoredResponses >= tuning.MaxIgnoredResponses {
		reasons |= CordonUnresponsive
	}
	return reasons
}

// CordonedFor reports whether any of the given reasons holds.
func (m *Machine) CordonedFor(r CordonReason) bool { return m.CordonReasons()&r != 0 }

// Cordoned reports whether any reason holds.
func (m *Machine) Cordoned() bool { return m.CordonReasons() != 0 }
