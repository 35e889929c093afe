package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestTicketsAreSpread: a share admits about its part of all jobs in each revision, and
// each single job within a bounded number of revisions, so that its chance grows with
// each that it has missed.
func TestTicketsAreSpread(t *testing.T) {
	for _, share := range []float64{0.5, 0.1, 0.02} {
		admitted, worst := 0, 0
		const jobs, revisions = 300, 400
		for job := range jobs {
			id := fmt.Sprintf("job-%06d", job)
			missed := 0
			for revision := range uint64(revisions) {
				if ticket(id, 1_700_000_000+revision) < share {
					admitted++
					missed = 0
					continue
				}
				missed++
				worst = max(worst, missed)
			}
		}
		if got := float64(admitted) / (jobs * revisions); math.Abs(got-share) > share/10 {
			t.Errorf("a share of %v admits %v", share, got)
		}
		if bound := int(3 / share); worst > bound {
			t.Errorf("with a share of %v a job missed %d revisions, at most %d wanted", share, worst, bound)
		}
	}
}

// TestAgingRaisesTheChance: waiting, and depending on accepted jobs, makes a job likelier to be
// admitted; a claimed wait counts up to the time for which users retry.
func TestAgingRaisesTheChance(t *testing.T) {
	p := Policy{Revision: 7, Shares: []Share{{Key{"blue", "urgent"}, 0.05}}}
	admitted := func(waited time.Duration, dependent bool) (n int) {
		for job := range 4000 {
			r := Request{ID: fmt.Sprintf("job-%d", job), Key: Key{"blue", "urgent"}, Waited: waited, Dependent: dependent}
			if p.Decide(&r).Admitted {
				n++
			}
		}
		return n
	}
	fresh, old, oldest := admitted(0, false), admitted(20*time.Second, false), admitted(tuning.AdmissionRetryWindow, false)
	if old < 2*fresh || oldest <= old {
		t.Errorf("admitted %d, %d after 20 s, %d after all of the time for retries", fresh, old, oldest)
	}
	if forever := admitted(1000*time.Hour, false); forever != oldest {
		t.Errorf("a claim of 1000 hours admits %d instead of %d", forever, oldest)
	}
	if dependent := admitted(0, true); dependent < 2*fresh {
		t.Errorf("dependent jobs: %d instead of %d", dependent, fresh)
	}
}

// TestRetryAfterSpreads: retries are spread over the time allowed for them, and none comes
// at once.
func TestRetryAfterSpreads(t *testing.T) {
	seen := map[int]int{}
	for job := range 1000 {
		d := rejection(fmt.Sprintf("job-%d", job), 5, 0.01)
		if d.Admitted || d.RetryAfterS < 1 || d.RetryAfterS > int(tuning.AdmissionRetryMaxS) {
			t.Fatalf("%+v", d)
		}
		seen[d.RetryAfterS]++
	}
	for after := 1; after <= int(tuning.AdmissionRetryMaxS); after++ {
		if seen[after] < 60 || seen[after] > 180 {
			t.Errorf("%d of 1000 come back after %d s", seen[after], after)
		}
	}
}
