package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestSamplingValuesAreSpread checks that a share admits about its part of all jobs, and
// that each job is admitted within a bounded number of revisions, so that its chance grows
// with each revision that has rejected it.
func TestSamplingValuesAreSpread(t *testing.T) {
	for _, share := range []float64{0.5, 0.1, 0.02} {
		admitted, maxRejections := 0, 0
		const jobs, revisions = 300, 400
		for job := range jobs {
			id := fmt.Sprintf("job-%06d", job)
			rejections := 0
			for revision := range uint64(revisions) {
				if samplingValue(id, 1_700_000_000+revision) < share {
					admitted++
					rejections = 0
					continue
				}
				rejections++
				maxRejections = max(maxRejections, rejections)
			}
		}
		if got := float64(admitted) / (jobs * revisions); math.Abs(got-share) > share/10 {
			t.Errorf("a share of %v admits %v", share, got)
		}
		if bound := int(3 / share); maxRejections > bound {
			t.Errorf("with a share of %v a job was rejected in %d successive revisions, want at most %d", share, maxRejections, bound)
		}
	}
}

// TestAgingIncreasesAdmission checks that jobs which have waited, or depend on accepted jobs,
// are admitted more often, and that a claimed wait counts only up to AdmissionRetryWindow.
func TestAgingIncreasesAdmission(t *testing.T) {
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
		t.Errorf("admitted %d, %d after 20 s, %d after the retry window", fresh, old, oldest)
	}
	if beyondWindow := admitted(1000*time.Hour, false); beyondWindow != oldest {
		t.Errorf("a claim of 1000 hours admits %d instead of %d", beyondWindow, oldest)
	}
	if dependent := admitted(0, true); dependent < 2*fresh {
		t.Errorf("dependent jobs: %d instead of %d", dependent, fresh)
	}
}

// TestRetryAfterIsSpread checks that retries are spread over AdmissionRetryMaxS seconds, and
// that none is immediate.
func TestRetryAfterIsSpread(t *testing.T) {
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
			t.Errorf("%d of 1000 retry after %d s", seen[after], after)
		}
	}
}
