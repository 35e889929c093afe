package machines

import "switchshore.example/switchshore/internal/tuning"

// CordonReason is a reason why no new tasks are assigned to a machine, or a set of such reasons.
type CordonReason uint8

// Reasons for a cordon; a machine may have several. The first four are set by Cordon, the last
// three are derived from the machine's state.
const (
	// CordonDrained: the machine is in a batch of a drain.
	CordonDrained CordonReason = 1 << iota
	// CordonConsolidated: its tasks are moved to other machines, so that it can be released.
	CordonConsolidated
	// CordonLateStart: the start of a task that should no longer run may still arrive late.
	CordonLateStart
	// CordonAgentReplaced: a new agent has replaced the earlier one and counts its epochs from
	// the start again. Only the release proves that the tasks on the machine have ended.
	CordonAgentReplaced
	// CordonFaulty: tasks of several jobs have failed on the machine in a row.
	CordonFaulty
	// CordonReclaimed: the cloud has announced that it reclaims the machine.
	CordonReclaimed
	// CordonUnresponsive: responses seem not to reach the machine, or to have no effect.
	CordonUnresponsive
)

// ReleaseWhenEmptyReasons are the reasons for which a machine is released once it has no
// attempts.
const ReleaseWhenEmptyReasons = CordonDrained | CordonConsolidated | CordonLateStart | CordonFaulty | CordonReclaimed

// Cordon sets a reason. It is for those that aren't derived from the machine's state.
func (m *Machine) Cordon(r CordonReason) { m.explicitCordons |= r }

// Uncordon clears a reason that Cordon has set.
func (m *Machine) Uncordon(r CordonReason) { m.explicitCordons &^= r }

// SetCordon sets or clears a reason.
func (m *Machine) SetCordon(r CordonReason, holds bool) {
	if holds {
		m.Cordon(r)
	} else {
		m.Uncordon(r)
	}
}

// CordonReasons returns all reasons that hold, set and derived ones.
func (m *Machine) CordonReasons() CordonReason {
	reasons := m.explicitCordons
	if m.isFaulty() {
		reasons |= CordonFaulty
	}
	if !m.reclaimAt.IsZero() {
		reasons |= CordonReclaimed
	}
	if !m.responsesLostSince.IsZero() || m.ineffectiveResponses >= tuning.MaxIneffectiveResponses {
		reasons |= CordonUnresponsive
	}
	return reasons
}

// IsCordonedFor reports whether any of the given reasons holds.
func (m *Machine) IsCordonedFor(r CordonReason) bool { return m.CordonReasons()&r != 0 }

// IsCordoned reports whether any reason holds.
func (m *Machine) IsCordoned() bool { return m.CordonReasons() != 0 }
