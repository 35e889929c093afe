package drain

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a running attempt on a machine of the current batch.
type Candidate struct {
	Team    string
	Attempt Attempt
	// LostS is the maximum run time in seconds that stopping the task loses.
	LostS float64
	// EndsSoon is set if the task is expected to end while the batch reason for it.
	EndsSoon bool
	// NoAlternative is set if the task can only run on machines that are drained.
	NoAlternative bool
}

// Evictor chooses which tasks to evict within the budgets.
type Evictor struct {
	Ledger  *Ledger
	Budgets *Budgets
	// Force also evicts tasks that can run nowhere else.
	Force bool
	// Now is the time on the ledger's clock.
	Now time.Time
	// MaxChargeBytes bounds the stored form of a charge.
	MaxChargeBytes int
}

// Choose adds the candidates to be evicted now to the charge, in ascending order of loss. It
// returns the first reason why one of the others may not be evicted, WaitTaskEnd only if there is
// no other reason. If the charge is full, the remaining candidates are left to the next charge.
func (e *Evictor) Choose(charge *Charge, candidates []Candidate) Reason {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.LostS, b.LostS) })
	var reason Reason
	for _, candidate := range candidates {
		cause := e.blockedBy(charge, candidate)
		if cause == "" && !charge.Add(candidate, e.MaxChargeBytes) {
			return reason
		}
		if cause != "" && (reason.Cause == "" || reason.Cause == WaitTaskEnd) {
			reason = Reason{Cause: cause, Team: candidate.Team}
		}
	}
	return reason
}

// blockedBy returns why a candidate may not be evicted now, "" if it may.
func (e *Evictor) blockedBy(charge *Charge, c Candidate) Cause {
	budget, used := e.Budgets.For(c.Team), e.Ledger.Used(c.Team, e.Now)
	charged := charge.Teams[c.Team]
	switch {
	case c.EndsSoon:
		return WaitTaskEnd
	case c.NoAlternative && !e.Force:
		return WaitNoAlternative
	case e.Ledger.Unavailable(c.Team)+charged.Evictions+1 > budget.MaxUnavailable:
		return WaitUnavailableBudget
	case used.Evictions+charged.Evictions+1 > budget.Evictions:
		return WaitEvictionBudget
	case used.LostS+charged.LostS+c.LostS > budget.LostS:
		return WaitLostTimeBudget
	}
	return ""
}
