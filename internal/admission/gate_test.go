package admission

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestGateIgnoresOldPolicies: delayed, repeated and reordered policies change nothing and
// extend nothing; one that is not renewed expires, and then every job is forwarded.
func TestGateIgnoresOldPolicies(t *testing.T) {
	none := []Share{{Key{"blue", "urgent"}, 0}}
	life := tuning.AdmissionPolicyTTL
	g := NewGate(settings(), 1)
	asks := func(at time.Duration) bool {
		d, _ := g.Decide(begin.Add(at), &Request{ID: "job-1", Key: Key{"blue", "urgent"}})
		return d.Admitted
	}
	if !asks(0) {
		t.Fatal("refused without a policy")
	}
	current := Policy{Term: 4, Revision: 100, TTLMS: life.Milliseconds(), Shares: none}
	g.ApplyPolicy(begin, current)
	if asks(0) {
		t.Fatal("the policy is not applied")
	}
	g.ApplyPolicy(begin.Add(life-1), current)
	g.ApplyPolicy(begin.Add(life-1), Policy{Term: 4, Revision: 99, TTLMS: life.Milliseconds(), Shares: none})
	g.ApplyPolicy(begin.Add(life-1), Policy{Term: 3, Revision: 900, TTLMS: life.Milliseconds(), Shares: none})
	if !asks(life) {
		t.Error("a copy or an older policy prolonged the one that has expired")
	}
	g.ApplyPolicy(begin.Add(life), Policy{Term: 5, Revision: 90, TTLMS: time.Hour.Milliseconds(), Shares: none})
	if asks(life) {
		t.Error("a later term's policy is not applied")
	}
	if !asks(2 * life) {
		t.Error("a policy lives for longer than any may")
	}
}

// TestGateRemembersWithinBounds: IDs from outside can't fill the memory, and a flood of one
// team evicts no other team's; accepted jobs are not rejected as new.
func TestGateRemembersWithinBounds(t *testing.T) {
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
	remembered := 0
	for _, m := range g.historyByTeam {
		remembered += m.rejected.Len() + m.admitted.Len()
	}
	if remembered > 2*tuning.AdmissionMaxTrackedJobs {
		t.Errorf("%d ids remembered", remembered)
	}
	later := begin.Add(20 * time.Second)
	if r := request("green", "job-1"); !g.RecordArrival(later, r) || r.Waited != 20*time.Second {
		t.Errorf("forgotten for another team's flood: waited %v", r.Waited)
	}
	if g.RecordArrival(later, request("green", "job-2")) {
		t.Error("a job that was let through counts as new")
	}
	g.RecordRejected(later, request("green", "job-2"))
	if !g.RecordArrival(later, request("green", "job-2")) {
		t.Error("a job that the leader has refused doesn't count as new")
	}
	if r := request("green", "job-1"); !g.RecordArrival(begin.Add(time.Hour), r) || r.Waited != 0 {
		t.Errorf("a new try an hour later counts as having waited %v", r.Waited)
	}
	offers := g.OfferedLoad("n").Loads
	if len(offers) != 1 || offers[0].Count != 3 {
		t.Errorf("%+v", offers)
	}
}
