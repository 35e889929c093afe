package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// alwaysTeamBlue reports that a task has not ended and belongs to team blue.
func alwaysTeamBlue(Attempt) (string, bool) { return "blue", true }

// TestLedgerAgainstEventList compares the ledger with a list of all events after random
// interruptions, charges, restarts and expirations: its usage is at least that of the events
// within the window, and the same tasks are unavailable.
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
				if !unavailable[index] {
					events = append(events, event{at, 5})
				}
				unavailable[index] = true
				ledger.RecordInterruption("blue", "job-1", index, at, 5)
			case 1:
				c := NewCharge("zone-a", at)
				c.Add(Candidate{Team: "blue", Attempt: Attempt{"job-1", index, uint64(step + 1)}, LostS: 7}, 10_000)
				events = append(events, event{at, 7})
				unavailable[index] = true
				ledger.RecordCharge(fmt.Sprint("b/", step), c, at, alwaysTeamBlue)
			case 2:
				delete(unavailable, index)
				ledger.RecordAvailable("job-1", index)
			default:
				ledger.Expire(at)
			}
			var want Usage
			for _, e := range events {
				if at.Sub(e.at) < time.Minute {
					want.Evictions++
					want.LostS += e.lostS
				}
			}
			used := ledger.Used("blue", at)
			if used.Evictions < want.Evictions || used.LostS < want.LostS || ledger.Unavailable("blue") != len(unavailable) {
				t.Fatalf("seed %d step %d: used %+v of %+v, %d unavailable of %d", seed, step, used, want, ledger.Unavailable("blue"), len(unavailable))
			}
		}
		ledger.RecordJobEnd("job-1")
		if keys := ledger.Expire(at.Add(time.Hour)); len(ledger.chargesByKey) != 0 || len(ledger.chargedAttempts) != 0 || ledger.Unavailable("blue") != 0 {
			t.Fatalf("not empty after all charges have expired: %v", keys)
		}
	}
}
