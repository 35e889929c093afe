package admission

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestGateIgnoresOldPolicies checks that delayed copies of the current policy and older
// policies neither replace the current one nor extend the time for which it is applied, and
// that all jobs are admitted when a policy has expired.
func TestGateIgnoresOldPolicies(t *testing.T) {
	admitNone := []Share{{Key{"blue", "urgent"}, 0}}
	ttl := tuning.AdmissionPolicyTTL
	g := NewGate(testSettings(), 1)
	admitsAt := func(offset time.Duration) bool {
		d, _ := g.Decide(startTime.Add(offset), &Request{ID: "job-1", Key: Key{"blue", "urgent"}})
		return d.Admitted
	}
	if !admitsAt(0) {
		t.Fatal("a job is rejected without a policy")
	}
	current := Policy{Term: 4, Revision: 100, TTLMS: ttl.Milliseconds(), Shares: admitNone}
	g.ApplyPolicy(startTime, current)
	if admitsAt(0) {
		t.Fatal("a policy that admits no job is not applied")
	}
	g.ApplyPolicy(startTime.Add(ttl-1), current)
	g.ApplyPolicy(startTime.Add(ttl-1), Policy{Term: 4, Revision: 99, TTLMS: ttl.Milliseconds(), Shares: admitNone})
	g.ApplyPolicy(startTime.Add(ttl-1), Policy{Term: 3, Revision: 900, TTLMS: ttl.Milliseconds(), Shares: admitNone})
	if !admitsAt(ttl) {
		t.Error("a copy or an older policy is applied after the current one has expired")
	}
	g.ApplyPolicy(startTime.Add(ttl), Policy{Term: 5, Revision: 90, TTLMS: time.Hour.Milliseconds(), Shares: admitNone})
	if admitsAt(ttl) {
		t.Error("the policy of a later term is not applied")
	}
	if !admitsAt(2 * ttl) {
		t.Error("a policy is applied for longer than AdmissionPolicyTTL")
	}
}

// TestGateHistoryIsBounded checks that the number of tracked job IDs is bounded, and that a
// flood of one team evicts no entries of another team. It also checks which submissions count
// as new: those of forwarded jobs don't, unless the leader has rejected the job, and a
// submission after the retry window counts as new without a wait.
func TestGateHistoryIsBounded(t *testing.T) {
	g := NewGate(testSettings(), 1)
	request := func(team, id string) *Request { return &Request{ID: id, Key: Key{team, "urgent"}} }
	g.RecordRejected(startTime, request("green", "job-1"))
	g.RecordAdmitted(request("green", "job-2"))
	for i := range 3 * tuning.AdmissionMaxTrackedJobs {
		r := request("blue", fmt.Sprint("job-9", i))
		g.RecordRejected(startTime, r)
		g.RecordAdmitted(r)
	}
	g.RecordRejected(startTime, request("nobody", "job-3"))
	tracked := 0
	for _, h := range g.histories {
		tracked += h.rejected.Len() + h.admitted.Len()
	}
	if tracked > 2*tuning.AdmissionMaxTrackedJobs {
		t.Errorf("%d job IDs are tracked, want at most 2 * AdmissionMaxTrackedJobs", tracked)
	}
	later := startTime.Add(20 * time.Second)
	if r := request("green", "job-1"); !g.RecordArrival(later, r) || r.Waited != 20*time.Second {
		t.Errorf("the entry was evicted by another team's flood: waited %v, want 20 s", r.Waited)
	}
	if g.RecordArrival(later, request("green", "job-2")) {
		t.Error("a job that was forwarded counts as new")
	}
	g.RecordRejected(later, request("green", "job-2"))
	if !g.RecordArrival(later, request("green", "job-2")) {
		t.Error("a job that the leader has rejected doesn't count as new")
	}
	if r := request("green", "job-1"); !g.RecordArrival(startTime.Add(time.Hour), r) || r.Waited != 0 {
		t.Errorf("a submission an hour later waited %v, want 0", r.Waited)
	}
	loads := g.OfferedLoad("n").Loads
	if len(loads) != 1 || loads[0].Count != 3 {
		t.Errorf("offered load: got %+v, want one key with 3 submissions", loads)
	}
}
