package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

var begin = time.Unix(1_700_000_000, 0)

func settings() *Settings {
	return &Settings{
		Teams: []Team{
			{Name: "blue", GuaranteedCPUs: 60},
			{Name: "green", GuaranteedCPUs: 20, Classes: []Class{{Name: "urgent", Weight: 2, Floor: 0.3}}},
			{Name: "guests"},
		},
		Classes:         []string{"urgent", "nightly"},
		WritesPerSecond: 50,
	}
}

// TestDivideIsMaxMinFair checks, for random claims, what weighted max-min fairness means:
// nothing beyond the demand or the capacity, all of it used if wanted, what is reserved
// first, and nobody could get more without taking from one who has less for its weight.
func TestDivideIsMaxMinFair(t *testing.T) {
	const tiny = 1e-9
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		capacity := rng.Float64() * 100
		claims := make([]claimant, 1+rng.IntN(8))
		demand, reserved := 0.0, 0.0
		for i := range claims {
			claims[i] = claimant{demand: rng.Float64() * 60, weight: 0.1 + rng.Float64()*5}
			if rng.IntN(2) == 0 {
				claims[i].reserved = rng.Float64() * capacity / float64(len(claims))
			}
			demand += claims[i].demand
			reserved += claims[i].reserved
		}
		granted := divide(capacity, claims)
		sum := 0.0
		for i, g := range granted {
			sum += g
			if g > claims[i].demand+tiny || g+tiny < min(claims[i].demand, claims[i].reserved) {
				t.Fatalf("%+v got %v of %v", claims[i], g, capacity)
			}
		}
		if want := min(capacity, demand); math.Abs(sum-want) > 1e-6 {
			t.Fatalf("%v of %v handed out", sum, want)
		}
		extra := func(i int) float64 {
			return (granted[i] - min(claims[i].demand, claims[i].reserved)) / claims[i].weight
		}
		for i := range claims {
			for k := range claims {
				if granted[i]+1e-6 < claims[i].demand && extra(i)+1e-6 < extra(k) {
					t.Fatalf("%+v wants more than %v, while %+v got %v", claims[i], granted[i], claims[k], granted[k])
				}
			}
		}
	}
}

// TestTicketsAreSpread: a share admits about its part of all jobs in each revision, and
// each single job within a bounded number of revisions, so that its chance grows with
// every one that it has missed.
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

// TestAgeingRaisesTheChance: waiting, and needing accepted jobs, makes a job likelier to be
// admitted; a claim to have waited for ever counts no more than the users' patience.
func TestAgeingRaisesTheChance(t *testing.T) {
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
		t.Errorf("admitted %d, %d after 20 s, %d after the users' patience", fresh, old, oldest)
	}
	if forever := admitted(1000*time.Hour, false); forever != oldest {
		t.Errorf("a claim of 1000 hours admits %d instead of %d", forever, oldest)
	}
	if dependent := admitted(0, true); dependent < 2*fresh {
		t.Errorf("dependent jobs: %d instead of %d", dependent, fresh)
	}
}

// TestRetryAfterSpreads: users who are refused come back at different times, within their
// patience, and never at once.
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

// TestGateIgnoresOldPolicies: late, repeated and reordered policies change nothing and
// prolong nothing; one that is not renewed ends, and then all goes to the leader.
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

// TestGateRemembersWithinBounds: ids from outside fill no memory, and a flood of one team
// pushes out nobody else's; accepted jobs are not turned away as new.
func TestGateRemembersWithinBounds(t *testing.T) {
	g := NewGate(settings(), 1)
	request := func(team, id string) *Request { return &Request{ID: id, Key: Key{team, "urgent"}} }
	g.RecordRejected(begin, request("green", "job-1"))
	g.RecordAdmitted(request("green", "job-2"))
	for i := range 3 * tuning.AdmissionMaxRemembered {
		r := request("blue", fmt.Sprint("job-9", i))
		g.RecordRejected(begin, r)
		g.RecordAdmitted(r)
	}
	g.RecordRejected(begin, request("nobody", "job-3"))
	remembered := 0
	for _, m := range g.historyByTeam {
		remembered += m.rejected.Len() + m.admitted.Len()
	}
	if remembered > 2*tuning.AdmissionMaxRemembered {
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

// TestKeysAreBounded: classes that the settings don't name share one key, and offers of
// peers under keys of their own making are left out.
func TestKeysAreBounded(t *testing.T) {
	s := settings()
	if k, known := s.Key("blue", "made up"); !known || k.Class != OtherClass {
		t.Errorf("%+v %v", k, known)
	}
	if _, known := s.Key("nobody", "urgent"); known {
		t.Error("an unknown team is known")
	}
	r := NewRegulator(s, 1, begin)
	odd := OfferedLoad{Key: Key{"blue", "made up"}, Count: 100, Boosted: 100, Weight: 100}
	r.Update(begin, begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1}})
	r.Update(begin.Add(time.Second), begin, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: 1, Loads: []OfferedLoad{odd}}})
	if len(r.demands) != 0 {
		t.Errorf("%+v", r.demands)
	}
}

// TestOffersOfRestartedAndLateNodes: a node that starts again counts from zero, and a late
// copy of its counts takes nothing back.
func TestOffersOfRestartedAndLateNodes(t *testing.T) {
	k := Key{"blue", "urgent"}
	at := begin
	r := NewRegulator(settings(), 1, at)
	tell := func(started uint64, count int64) float64 {
		at = at.Add(tuning.AdmissionInterval)
		before := 0.0
		if d := r.demands[k]; d != nil {
			before = d.count * math.Exp(-tuning.AdmissionInterval.Seconds()/tuning.AdmissionOfferedLoadDecay.Seconds())
		}
		o := OfferedLoad{Key: k, Count: count, Boosted: float64(count), Weight: float64(count)}
		r.Update(at, at, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: started, Loads: []OfferedLoad{o}}})
		if d := r.demands[k]; d != nil {
			return (d.count - before) * tuning.AdmissionOfferedLoadDecay.Seconds()
		}
		return 0
	}
	for i, c := range []struct {
		started uint64
		count   int64
		want    float64
	}{{1, 1000, 0}, {1, 1030, 30}, {1, 1010, 0}, {1, 1030, 0}, {2, 7, 7}, {2, 9, 2}} {
		if got := tell(c.started, c.count); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%d: counted %v, want %v", i, got, c.want)
		}
	}
}
