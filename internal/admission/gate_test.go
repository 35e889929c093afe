package admission

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestGateIgnoresOldPolicies checks that delayed, repeated and reordered policies neither
// replace nor extend the current one, and that a policy which isn't renewed expires, so that
// every job is forwarded.
func TestGateIgnoresOldPolicies(t *testing.T) {
	admitNone := []Share{{Key{"blue", "urgent"}, 0}}
	ttl := tuning.AdmissionPolicyTTL
	g := NewGate(settings(), 1)
	admits := func(at time.Duration) bool {
		d, _ := g.Decide(begin.Add(at), &Request{ID: "job-1", Key: Key{"blue", "urgent"}})
		return d.Admitted
	}
	if !admits(0) {
		t.Fatal("rejected without a policy")
	}
	current := Policy{Term: 4, Revision: 100, TTLMS: ttl.Milliseconds(), Shares: admitNone}
	g.ApplyPolicy(begin, current)
	if admits(0) {
		t.Fatal("the policy is not applied")
	}
	g.ApplyPolicy(begin.Add(ttl-1), current)
	g.ApplyPolicy(begin.Add(ttl-1), Policy{Term: 4, Revision: 99, TTLMS: ttl.Milliseconds(), Shares: admitNone})
	g.ApplyPolicy(begin.Add(ttl-1), Policy{Term: 3, Revision: 900, TTLMS: ttl.Milliseconds(), Shares: admitNone})
	if !admits(ttl) {
		t.Error("a copy or an older policy extended the expired one")
	}
	g.ApplyPolicy(begin.Add(ttl), Policy{Term: 5, Revision: 90, TTLMS: time.Hour.Milliseconds(), Shares: admitNone})
	if admits(ttl) {
		t.Error("a later term's policy is not applied")
	}
	if !admits(2 * ttl) {
		t.Error("a policy is applied for longer than AdmissionPolicyTTL")
	}
}

// TestGateHistoryIsBounded checks that the number of tracked job IDs is bounded, that a flood
// of one team evicts no entries of another team, and that accepted jobs don't count as new.
func TestGateHistoryIsBounded(t *testing.T) {
	g := NewGate(settings(), 1)
	request := func(team, id string) *Request { return &Request{ID: id, Key: Key{team, "urgent"}} }
	g.RecordRejected(begin, request("green", "job-1"))
	g.RecordAdmitted(request("green", "job-2"))
	for i := range 3 * tuning.AdmissionMaxTrackedJobs {
		r := request("blue", fmt.Sprint("job-9", i))
		g.RecordRejected(begin, r)
		g.RecordAdmitted(r)
	}
	g.RecordRejected(begin, request("nobody", "job-3"))
	tracked := 0
	for _, m := range g.histories {
		tracked += m.rejected.Len() + m.admitted.Len()
	}
	if tracked > 2*tuning.AdmissionMaxTrackedJobs {
		t.Errorf("%d job IDs are tracked", tracked)
	}
	later := begin.Add(20 * time.Second)
	if r := request("green", "job-1"); !g.RecordArrival(later, r) || r.Waited != 20*time.Second {
		t.Errorf("the entry was evicted by another team's flood: waited %v", r.Waited)
	}
	if g.RecordArrival(later, request("green", "job-2")) {
		t.Error("an admitted job counts as new")
	}
	g.RecordRejected(later, request("green", "job-2"))
	if !g.RecordArrival(later, request("green", "job-2")) {
		t.Error("a job that the leader has rejected doesn't count as new")
	}
	if r := request("green", "job-1"); !g.RecordArrival(begin.Add(time.Hour), r) || r.Waited != 0 {
		t.Errorf("a new submission an hour later counts as having waited %v", r.Waited)
	}
	loads := g.OfferedLoad("n").Loads
	if len(loads) != 1 || loads[0].Count != 3 {
		t.Errorf("%+v", loads)
	}
}
