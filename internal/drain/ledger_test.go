package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// alwaysTeamBlue is a teamOf function by which no task has ended and every task is of team blue.
func alwaysTeamBlue(Attempt) (string, bool) { return "blue", true }

// TestLedgerAgainstEventList compares the ledger with a list of all events, after each of a random
// sequence of interruptions, charges, removals of old charges, and tasks that become available again.
// The ledger's usage must be at least that of the events within the window, and it must count the same
// tasks as unavailable.
func TestLedgerAgainstEventList(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ledger := NewLedger(time.Minute)
		type event struct {
			at    time.Time
			lostS float64
		}
		var events []event
		unavailable := map[int32]bool{}
		at := testNow
		for step := range 400 {
			at = at.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			index := int32(rng.IntN(20))
			switch rng.IntN(4) {
			case 0:
				if !unavailable[index] { // an unavailable task doesn't run, so the ledger ignores this
					events = append(events, event{at, 5})
				}
				unavailable[index] = true
				ledger.RecordInterruption("blue", "job-1", index, at, 5)
			case 1:
				c := NewCharge("drain-1", at)
				c.Add(Candidate{Team: "blue", Attempt: Attempt{"job-1", index, uint64(step + 1)}, LostS: 7}, 10_000)
				events = append(events, event{at, 7})
				unavailable[index] = true
				ledger.RecordCharge(fmt.Sprint("b/", step), c, at, alwaysTeamBlue)
			case 2:
				delete(unavailable, index)
				ledger.RecordAvailable("job-1", index)
			default:
				ledger.RemoveOldCharges(at)
			}
			var want Usage
			for _, e := range events {
				if at.Sub(e.at) < time.Minute {
					want.Evictions++
					want.LostS += e.lostS
				}
			}
			used := ledger.Usage("blue", at)
			if used.Evictions < want.Evictions || used.LostS < want.LostS || ledger.UnavailableTasks("blue") != len(unavailable) {
				t.Fatalf("seed %d step %d: used %+v, want at least %+v; %d tasks unavailable, want %d", seed, step, used, want, ledger.UnavailableTasks("blue"), len(unavailable))
			}
		}
		ledger.RecordJobEnd("job-1")
		if keys := ledger.RemoveOldCharges(at.Add(time.Hour)); len(ledger.chargesByKey) != 0 || len(ledger.chargedAttempts) != 0 || ledger.UnavailableTasks("blue") != 0 {
			t.Fatalf("the ledger is not empty after the job has ended and the charges %v were removed", keys)
		}
	}
}
