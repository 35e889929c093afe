package drain

import (
	"cmp"
	"slices"
	"time"
)

// Budget bounds what drains may do to a team's work.
type Budget struct {
	// MaxUnavailable bounds the tasks that were interrupted and don't run again yet. 0: drains only
	// wait for the team's tasks to end.
	MaxUnavailable int `json:"maxUnavailable" xml:"maxUnavailable" validate:"min=0,max=1000000"`
	// Evictions and LostS bound interrupted tasks and lost run time in each window.
	Evictions int     `json:"evictions" xml:"evictions" validate:"min=0,max=1000000"`
	LostS     float64 `json:"lostS" xml:"lostSeconds" validate:"min=0,max=100000000"`
}

// Validate checks the bounds of a budget.
func (b *Budget) Validate() error {
	if err := validate.Struct(b); err != nil {
		return fieldError(err)
	}
	return nil
}

// Budgets are those of all teams.
type Budgets struct {
	Window  time.Duration
	Default Budget
	Teams   map[string]Budget
}

// For is the budget of a team.
func (b *Budgets) For(team string) Budget {
	if own, ok := b.Teams[team]; ok {
		return own
	}
	return b.Default
}

// Candidate is a running task on a machine of the present batch.
type Candidate struct {
	Team    string
	Attempt Attempt
	// LossS is the run time that stopping the task throws away, at most.
	LossS float64
	// EndsSoon: the task is expected to end in time by itself.
	EndsSoon bool
	// NoAlternative: the task could run nowhere else.
	NoAlternative bool
}

// ChooseEvictions chooses which tasks to stop now, those that lose least first, within what the
// budgets leave: the charge for them, and why others are left. With force, tasks that have no other place
// are stopped, too. The charge takes at most limit bytes.
func ChooseEvictions(charge *Charge, candidates []Candidate, ledger *Ledger, budgets *Budgets, force bool, now time.Time, limit int) Reason {
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.LossS, b.LossS) })
	var waits Reason
	for _, e := range candidates {
		cause := blockedBy(charge, e, ledger, budgets, force, now)
		if cause == "" && !charge.Add(e, limit) {
			return waits // the rest comes with the next charge
		}
		if cause != "" && (waits.Cause == "" || waits.Cause == WaitTasks) {
			waits = Reason{Cause: cause, Team: e.Team}
		}
	}
	return waits
}

// blockedBy is why a task is not to be stopped now, "" if it is.
func blockedBy(charge *Charge, e Candidate, ledger *Ledger, budgets *Budgets, force bool, now time.Time) Cause {
	budget, used := budgets.For(e.Team), ledger.Used(e.Team, now)
	here := charge.Teams[e.Team]
	switch {
	case e.EndsSoon:
		return WaitTasks
	case e.NoAlternative && !force:
		return WaitNoAlternative
	case ledger.Unavailable(e.Team)+here.Evictions+1 > budget.MaxUnavailable:
		return WaitUnavailable
	case used.Evictions+here.Evictions+1 > budget.Evictions:
		return WaitEvictions
	case used.LostS+here.LostS+e.LossS > budget.LostS:
		return WaitLostTime
	}
	return ""
}
