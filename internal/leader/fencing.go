package leader

import (
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/tuning"
)

// fencingTokens are the fencing tokens of a term. The first one is the number of the term. Each
// machine has a token of its own, which is raised when its agent has to refuse copies of earlier direct
// calls. A token is used only once it is reserved in the key-value store, so that every later
// term has a higher number.
type fencingTokens struct {
	first    uint64
	reserved uint64 // last reserved token
	used     uint64 // highest token of any machine
}

func newFencingTokens(term uint64) fencingTokens {
	return fencingTokens{first: term, reserved: term, used: term}
}

// contains reports whether a token belongs to the term.
func (t *fencingTokens) contains(token uint64) bool { return t.first <= token && token <= t.reserved }

// LastTokenToReserve returns the last fencing token that the next transaction should reserve for the
// term. It is higher than the last reserved one only if half of a block of tuning.FencingTokenBlock
// tokens has been used.
func (l *Leader) LastTokenToReserve() uint64 {
	t := &l.fencingTokens
	if t.reserved-t.used >= tuning.FencingTokenBlock/2 {
		return t.reserved
	}
	return t.used + tuning.FencingTokenBlock
}

// MarkTokensReserved records that the fencing tokens up to last are durably reserved for the term.
func (l *Leader) MarkTokensReserved(last uint64) { l.fencingTokens.reserved = last }

// fenceDirectStarts makes sure that the next response to a machine has a higher fencing token than all
// earlier direct calls with starts. It returns false if that is impossible now.
func (t *fencingTokens) fenceDirectStarts(m *machines.Machine) bool {
	if !m.FenceDirectStarts(t.reserved - t.first) {
		return false
	}
	t.used = max(t.used, m.FencingToken(t.first))
	return true
}
