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
	// LostS is the maximum run time, in seconds, that is lost if the task is stopped.
	LostS float64
	// EndsSoon is set if the task is expected to end before the batch stops waiting for it.
	EndsSoon bool
	// NoAlternative is set if the task can run on no machine that may be provisioned, so it might
	// not run again after an eviction.
	NoAlternative bool
}

// Evictor chooses which tasks to evict within the budgets.
type Evictor struct {
	Ledger  *Ledger
	Budgets *Budgets
	// Force allows the eviction of tasks without an alternative.
	Force bool
	// Now is the time on the ledger's clock.
	Now time.Time
	// MaxChargeBytes is the maximum size of an encoded charge.
	MaxChargeBytes int
}

// Choose adds to the charge the candidates that may be evicted now, in ascending order of lost run
// time, until the charge is full. The next charge can hold the remaining ones. Choose returns the
// first reason why a candidate may not be evicted; it returns WaitTaskEnd only if it found no other
// reason. The reason is empty if every candidate considered may be evicted.
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

// blockedBy returns why a candidate may not be evicted now, or "" if it may. The evictions already
// in the charge count as usage of the budget.
func (e *Evictor) blockedBy(charge *Charge, c Candidate) Cause {
	budget, used := e.Budgets.For(c.Team), e.Ledger.Usage(c.Team, e.Now)
	charged := charge.Teams[c.Team]
	switch {
	case c.EndsSoon:
		return WaitTaskEnd
	case c.NoAlternative && !e.Force:
		return WaitNoAlternative
	case e.Ledger.UnavailableTasks(c.Team)+charged.Evictions+1 > budget.MaxUnavailable:
		return WaitUnavailableBudget
	case used.Evictions+charged.Evictions+1 > budget.Evictions:
		return WaitEvictionBudget
	case used.LostS+charged.LostS+c.LostS > budget.LostS:
		return WaitLostTimeBudget
	}
	return ""
}
