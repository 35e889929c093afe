package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// active says that every task is still to run, of team blue.
func active(Attempt) (string, bool) { return "blue", true }

// TestLedgerAgainstAPlainCount: with random interruptions, charges, returns and ends, the ledger
// counts at least what a list of all events within the window gives, and the same tasks as
// unavailable.
func TestLedgerAgainstAPlainCount(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ledger := NewLedger(time.Minute)
		type event struct {
			at   time.Time
			lost float64
		}
		var events []event
		out := map[int32]bool{}
		at := now
		for step := range 400 {
			at = at.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			index := int32(rng.IntN(20))
			switch rng.IntN(4) {
			case 0:
				if !out[index] {
					events = append(events, event{at, 5})
				}
				out[index] = true
				ledger.RecordInterruption("blue", "job-1", index, at, 5)
			case 1:
				c := NewCharge("zone-a", at)
				c.Add(Candidate{Team: "blue", Attempt: Attempt{"job-1", index, uint64(step + 1)}, LossS: 7}, 10_000)
				events = append(events, event{at, 7})
				out[index] = true
				ledger.RecordCharge(fmt.Sprint("b/", step), c, at, active)
			case 2:
				delete(out, index)
				ledger.RecordAvailable("job-1", index)
			default:
				ledger.Expire(at)
			}
			var sum Usage
			for _, e := range events {
				if at.Sub(e.at) < time.Minute {
					sum.Evictions++
					sum.LostS += e.lost
				}
			}
			used := ledger.Used("blue", at)
			if used.Evictions < sum.Evictions || used.LostS < sum.LostS || ledger.Unavailable("blue") != len(out) {
				t.Fatalf("seed %d step %d: used %+v of %+v, %d unavailable of %d", seed, step, used, sum, ledger.Unavailable("blue"), len(out))
			}
		}
		ledger.RecordJobEnd("job-1")
		if keys := ledger.Expire(at.Add(time.Hour)); len(ledger.charges) != 0 || len(ledger.charged) != 0 || ledger.Unavailable("blue") != 0 {
			t.Fatalf("left after all is over: %v", keys)
		}
	}
}
