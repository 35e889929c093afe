package drain

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a running task on a machine of the present batch.
type Candidate struct {
	Team    string
	Attempt Attempt
	// LossS is the largest run time that stopping the task loses.
	LossS float64
	// EndsSoon: the task is expected to end by itself in time.
	EndsSoon bool
	// NoAlternative: the task can run nowhere else.
	NoAlternative bool
}

// Evictor chooses which tasks to evict within the budgets.
type Evictor struct {
	Ledger  *Ledger
	Budgets *Budgets
	// Force evicts tasks that can run nowhere else, too.
	Force bool
	// Now is the time on the ledger's clock.
	Now time.Time
	// MaxChargeBytes bounds the stored form of a charge.
	MaxChargeBytes int
}

// Choose adds to the charge the candidates to be evicted now, those that lose least first, and
// returns why others are not. Candidates that don't fit into the charge are left to the next one.
func (e *Evictor) Choose(charge *Charge, candidates []Candidate) Reason {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.LossS, b.LossS) })
	var waits Reason
	for _, candidate := range candidates {
		cause := e.blockedBy(charge, candidate)
		if cause == "" && !charge.Add(candidate, e.MaxChargeBytes) {
			return waits
		}
		if cause != "" && (waits.Cause == "" || waits.Cause == WaitTaskEnd) {
			waits = Reason{Cause: cause, Team: candidate.Team}
		}
	}
	return waits
}

// blockedBy is why a candidate is not to be evicted now, empty if it is.
func (e *Evictor) blockedBy(charge *Charge, c Candidate) Cause {
	budget, used := e.Budgets.For(c.Team), e.Ledger.Used(c.Team, e.Now)
	charged := charge.Teams[c.Team]
	switch {
	case c.EndsSoon:
		return WaitTaskEnd
	case c.NoAlternative && !e.Force:
		return WaitNoAlternative
	case e.Ledger.Unavailable(c.Team)+charged.Evictions+1 > budget.MaxUnavailable:
		return WaitUnavailable
	case used.Evictions+charged.Evictions+1 > budget.Evictions:
		return WaitEvictions
	case used.LostS+charged.LostS+c.LossS > budget.LostS:
		return WaitLostTime
	}
	return ""
}
