package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestSamplingValuesAreSpread checks that about the given share of jobs is admitted over many
// revisions, and that each job is admitted within a bounded number of revisions.
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
			t.Errorf("a share of %v of the jobs was admitted, want about %v", got, share)
		}
		if bound := int(3 / share); maxRejections > bound {
			t.Errorf("with a share of %v a job was rejected in %d successive revisions, want at most %d", share, maxRejections, bound)
		}
	}
}

// TestAgingIncreasesAdmission checks that jobs which have waited, or depend on accepted jobs,
// are admitted more often than new jobs, and that a wait counts only up to
// AdmissionRetryWindow.
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
	newJobs, waitedJobs, longestWaited := admitted(0, false), admitted(20*time.Second, false), admitted(tuning.AdmissionRetryWindow, false)
	if waitedJobs < 2*newJobs || longestWaited <= waitedJobs {
		t.Errorf("admitted %d new jobs, %d after 20 s, %d after the retry window; want each above the one before",
			newJobs, waitedJobs, longestWaited)
	}
	if beyondWindow := admitted(1000*time.Hour, false); beyondWindow != longestWaited {
		t.Errorf("admitted %d jobs after a wait of 1000 hours, want %d", beyondWindow, longestWaited)
	}
	if dependent := admitted(0, true); dependent < 2*newJobs {
		t.Errorf("admitted %d dependent jobs, want at least twice the %d new jobs", dependent, newJobs)
	}
}

// TestRetryAfterIsSpread checks that retries are spread over AdmissionRetrySpreadMaxS seconds,
// and that none is immediate.
func TestRetryAfterIsSpread(t *testing.T) {
	jobsByDelay := map[int]int{}
	for job := range 1000 {
		d := rejection(fmt.Sprintf("job-%d", job), 5, 0.01)
		if d.Admitted || d.RetryAfterS < 1 || d.RetryAfterS > int(tuning.AdmissionRetrySpreadMaxS) {
			t.Fatalf("got %+v, want a rejection with a delay of 1 s to AdmissionRetrySpreadMaxS", d)
		}
		jobsByDelay[d.RetryAfterS]++
	}
	for delayS := 1; delayS <= int(tuning.AdmissionRetrySpreadMaxS); delayS++ {
		if jobsByDelay[delayS] < 60 || jobsByDelay[delayS] > 180 {
			t.Errorf("%d of 1000 jobs retry after %d s, want 60 to 180", jobsByDelay[delayS], delayS)
		}
	}
}
