package drain

import (
	"testing"
	"time"
)

// candidate returns a candidate of job-1; number is both its task index and its attempt number.
func candidate(team string, number uint64, lostS float64) Candidate {
	return Candidate{Team: team, Attempt: Attempt{Job: "job-1", Index: int32(number), Number: number}, LostS: lostS}
}

// TestEvictions checks that Choose evicts candidates in ascending order of lost run time until a limit
// of the budget is reached, that it returns the cause that blocks the others, and that it keeps the
// charge within the maximum size.
func TestEvictions(t *testing.T) {
	budgets := &Budgets{Window: time.Minute, Default: Budget{MaxUnavailable: 2, Evictions: 3, LostS: 100}}
	candidates := []Candidate{candidate("blue", 1, 60), candidate("blue", 2, 30), candidate("blue", 3, 10)}
	for name, c := range map[string]struct {
		change        func(*Budgets, []Candidate)
		force         bool
		wantEvictions int
		wantCause     Cause
	}{
		"unavailable":       {func(*Budgets, []Candidate) {}, false, 2, WaitUnavailableBudget},
		"evictions":         {func(b *Budgets, _ []Candidate) { b.Default.Evictions = 1 }, false, 1, WaitEvictionBudget},
		"lost time":         {func(b *Budgets, _ []Candidate) { b.Default = Budget{MaxUnavailable: 9, Evictions: 9, LostS: 99} }, false, 2, WaitLostTimeBudget},
		"budget 0":          {func(b *Budgets, _ []Candidate) { b.Default.MaxUnavailable = 0 }, true, 0, WaitUnavailableBudget},
		"team's own budget": {func(b *Budgets, _ []Candidate) { b.Teams = map[string]Budget{"blue": {}} }, false, 0, WaitUnavailableBudget},
		"ends by itself":    {func(_ *Budgets, l []Candidate) { l[2].EndsSoon = true }, false, 2, WaitTaskEnd},
		"no alternative":    {func(_ *Budgets, l []Candidate) { l[1].NoAlternative, l[0].NoAlternative = true, true }, false, 1, WaitNoAlternative},
		"forced":            {func(_ *Budgets, l []Candidate) { l[1].NoAlternative, l[0].NoAlternative = true, true }, true, 2, WaitUnavailableBudget},
	} {
		b, list, charge := *budgets, append([]Candidate(nil), candidates...), NewCharge("drain-1", testNow)
		c.change(&b, list)
		evictor := Evictor{Ledger: NewLedger(b.Window), Budgets: &b, Force: c.force, Now: testNow, MaxChargeBytes: 10_000}
		reason := evictor.Choose(charge, list)
		if len(charge.Attempts) != c.wantEvictions || reason.Cause != c.wantCause {
			t.Errorf("%s: got %d evictions and reason %v, want those of the case", name, len(charge.Attempts), reason)
		}
	}
	charge := NewCharge("drain-1", testNow)
	evictor := Evictor{Ledger: NewLedger(time.Minute), Budgets: &Budgets{Default: Budget{9, 9, 1e6}}, Now: testNow, MaxChargeBytes: 400}
	evictor.Choose(charge, candidates)
	if n := len(charge.Encode()); len(charge.Attempts) == 0 || len(charge.Attempts) == 3 || n > 400 {
		t.Errorf("charge limited to 400 bytes: got %d attempts in %d bytes, want 1 or 2 attempts within the limit", len(charge.Attempts), n)
	}
}
