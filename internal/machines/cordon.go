package machines

import "switchshore.example/switchshore/internal/tuning"

// CordonReason is a reason why no new tasks are assigned to a machine, or a set of such reasons.
type CordonReason uint8

// Reasons for a cordon; several may hold for a machine. The first four are set with Cordon, the
// last three are derived from the machine's state.
const (
	// CordonDrained: the machine is in a batch of a drain.
	CordonDrained CordonReason = 1 << iota
	// CordonConsolidated: the machine's tasks are moved to others, so that it can be released.
	CordonConsolidated
	// CordonLateStart: the machine may still receive the start of a task that must no longer run.
	CordonLateStart
	// CordonAgentReplaced: a new agent has replaced the earlier one and counts its epochs from
	// the start again. Only the release of the machine proves that the earlier tasks have ended.
	CordonAgentReplaced
	// CordonFaulty: tasks of several jobs have failed on the machine in a row; it is quarantined.
	CordonFaulty
	// CordonReclaimed: the cloud has announced that it reclaims the machine.
	CordonReclaimed
	// CordonUnresponsive: responses don't reach the machine, or their starts have no effect.
	CordonUnresponsive
)

// ReleaseWhenEmptyReasons are the reasons that cause the release of a machine once it has no
// attempts.
const ReleaseWhenEmptyReasons = CordonDrained | CordonConsolidated | CordonLateStart | CordonFaulty | CordonReclaimed

// Cordon sets a reason, which must not be one that is derived from the machine's state.
func (m *Machine) Cordon(r CordonReason) { m.explicitCordons |= r }

// Uncordon clears a reason that Cordon has set.
func (m *Machine) Uncordon(r CordonReason) { m.explicitCordons &^= r }

// SetCordon sets the reason if holds is true, and clears it otherwise.
func (m *Machine) SetCordon(r CordonReason, holds bool) {
	if holds {
		m.Cordon(r)
	} else {
		m.Uncordon(r)
	}
}

// CordonReasons returns all reasons that hold, both set and derived ones.
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

// IsCordonedFor reports whether at least one of the given reasons holds.
func (m *Machine) IsCordonedFor(r CordonReason) bool { return m.CordonReasons()&r != 0 }

// IsCordoned reports whether any reason holds.
func (m *Machine) IsCordoned() bool { return m.CordonReasons() != 0 }
