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
	// LostRunTimeS is the maximum run time, in seconds, that is lost if the task is stopped.
	LostRunTimeS float64
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
	// Now is the time on the monotonic clock, on which the ledger records usage.
	Now time.Time
	// MaxChargeBytes is the maximum size of an encoded charge.
	MaxChargeBytes int
}

// Choose adds to the charge the candidates that may be evicted now, in ascending order of lost run
// time, until the charge is full. A later step adds the remaining candidates to its own charge.
// Choose returns why the first blocked candidate may not be evicted. It returns WaitTaskEnd only if
// no candidate is blocked for another reason. The reason is empty if every candidate considered may
// be evicted.
func (e *Evictor) Choose(charge *Charge, candidates []Candidate) Reason {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.LostRunTimeS, b.LostRunTimeS) })
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
	case used.Evictions+charged.Evictions+1 > budget.MaxEvictions:
		return WaitEvictionBudget
	case used.LostRunTimeS+charged.LostRunTimeS+c.LostRunTimeS > budget.MaxLostRunTimeS:
		return WaitLostTimeBudget
	}
	return ""
}
