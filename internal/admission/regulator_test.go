package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// overload is a regulator under overload: team blue submits 200 new jobs per second, the
// other teams two each.
type overload struct {
	*Regulator
	at     time.Time
	counts map[Key]*OfferedLoad
	jobs   int // submitted so far
}

func newOverload(term uint64, at time.Time) *overload {
	return &overload{Regulator: NewRegulator(settings(), term, at), at: at, counts: map[Key]*OfferedLoad{}}
}

// simulateSecond simulates one second with a number of pending writes. It returns the number
// of admitted jobs by team.
func (o *overload) simulateSecond(pendingWrites int) map[string]int {
	admitted := map[string]int{}
	for team, n := range map[string]int{"blue": 200, "green": 2, "guests": 2} {
		for range n {
			o.jobs++
			request := Request{ID: fmt.Sprintf("job-%06d", o.jobs), Key: Key{team, "urgent"}, PriorityRank: 1, Tasks: 1}
			countRequest(o.counts, &request)
			if o.Admit(o.at.Add(time.Duration(o.jobs%100)*time.Millisecond*9), &request, &Claim{}, TaskLoad{}).Admitted {
				admitted[team]++
			}
		}
	}
	o.at = o.at.Add(tuning.AdmissionInterval)
	n := NodeOfferedLoad{Node: "a", Started: 1}
	for _, c := range o.counts {
		n.Loads = append(n.Loads, *c)
	}
	o.Update(o.at, o.at, LeaderLoad{PendingWrites: pendingWrites, SentWrites: o.sentWrites + 40}, []NodeOfferedLoad{n})
	return admitted
}

// TestFloodIsShed checks that under pressure the flooding team gets what the other teams
// leave and these lose little, and that shedding ends without pressure and submissions.
func TestFloodIsShed(t *testing.T) {
	o := newOverload(1, begin)
	o.simulateSecond(0)
	if o.Shedding() {
		t.Fatal("sheds load without pressure")
	}
	for range 3 {
		o.simulateSecond(80)
	}
	if !o.Shedding() {
		t.Fatal("doesn't shed load under pressure")
	}
	totals := map[string]int{}
	for range 20 {
		for team, n := range o.simulateSecond(15) {
			totals[team] += n
		}
	}
	if totals["blue"] > 20*50 || totals["blue"] < 20 {
		t.Errorf("blue: %d of 4000 in 20 s", totals["blue"])
	}
	for _, team := range []string{"green", "guests"} {
		if totals[team] < 30 {
			t.Errorf("%s: %d of 40 in a flood of blue", team, totals[team])
		}
	}
	for range 60 {
		o.at = o.at.Add(tuning.AdmissionInterval)
		o.Update(o.at, o.at, LeaderLoad{}, nil)
	}
	if o.Shedding() || len(o.Policy().Shares) > 0 {
		t.Error("continues to shed without load")
	}
}

// TestBurstsAtTwoNodesStayWithinTheBudget checks that followers which forward far too many
// jobs at once, after applying any recent revision, get no more admitted than the budget
// allows.
func TestBurstsAtTwoNodesStayWithinTheBudget(t *testing.T) {
	o := newOverload(1, begin)
	for range 5 {
		o.simulateSecond(80)
	}
	budget := o.Summary().Budget
	admitted := 0
	for i := range 1000 {
		for _, node := range []string{"a", "b"} {
			request := Request{ID: fmt.Sprint("job-5", node, i), Key: Key{"blue", "urgent"}, Tasks: 1}
			if o.Admit(o.at, &request, &Claim{Revision: o.Policy().Revision - uint64(i%2)}, TaskLoad{}).Admitted {
				admitted++
			}
		}
	}
	if limit := budget*tuning.AdmissionBurstTime.Seconds() + 1; float64(admitted) > limit {
		t.Errorf("%d admitted at once with a budget of %.1f per second", admitted, budget)
	}
}

// TestMissingAndOutdatedClaims checks that the leader counts submissions without a claim,
// which come from nodes without admission control, and that it applies its own policy to
// them and to jobs admitted under an outdated revision.
func TestMissingAndOutdatedClaims(t *testing.T) {
	o := newOverload(1, begin)
	for range 5 {
		o.simulateSecond(80)
	}
	before := len(o.unclaimed)
	rejected := 0
	for i := range 200 {
		for _, claim := range []*Claim{nil, {Revision: 1}} {
			request := Request{ID: fmt.Sprint("job-7", i), Key: Key{"guests", "nightly"}, Tasks: 1}
			o.policy.Shares = []Share{{request.Key, 0}}
			if !o.Admit(o.at, &request, claim, TaskLoad{}).Admitted {
				rejected++
			}
		}
	}
	if before != 0 || o.unclaimed[Key{"guests", "nightly"}].Count != 200 || rejected != 400 {
		t.Errorf("%d before, %+v, %d rejected", before, o.unclaimed, rejected)
	}
}

// TestRevisionsContinueInTheNextTerm checks that a successor continues its predecessor's
// revisions if their clocks agree, and that a wrong clock doesn't decrease them within a term.
func TestRevisionsContinueInTheNextTerm(t *testing.T) {
	o := newOverload(1, begin)
	for range 10 {
		o.simulateSecond(80)
	}
	next := newOverload(2, o.at)
	next.simulateSecond(80)
	if a, b := o.Policy().Revision, next.Policy().Revision; b < a || b > a+2 {
		t.Errorf("revision %d after %d", b, a)
	}
	previous := next.Policy().Revision
	next.at = next.at.Add(tuning.AdmissionInterval)
	next.Update(next.at, begin.Add(-time.Hour), LeaderLoad{}, nil)
	if next.Policy().Revision <= previous {
		t.Error("the revision decreased")
	}
}

// TestHugeJobsLeaveTaskCapacity checks that one team's unfinished tasks leave capacity for
// those of the other teams.
func TestHugeJobsLeaveTaskCapacity(t *testing.T) {
	r := NewRegulator(settings(), 1, begin)
	admits := func(team string, all, own int) bool {
		request := Request{ID: "job-1", Key: Key{team, "urgent"}, Tasks: 100_000}
		return r.Admit(begin, &request, &Claim{}, TaskLoad{Total: all, Team: own}).Admitted
	}
	if limit := int(tuning.MaxActiveTasks * (1 - tuning.AdmissionTaskReserveShare)); !admits("blue", limit-100_000, limit-100_000) || admits("blue", limit, limit) {
		t.Error("blue uses the capacity reserved for others, or may not exceed its own share")
	} else if !admits("green", limit, 0) {
		t.Error("green is blocked by blue's tasks")
	}
}

// TestLagStartsShedding checks that a leader whose periodic work lags starts shedding, but
// not after a single suspension of its process.
func TestLagStartsShedding(t *testing.T) {
	r := NewRegulator(settings(), 1, begin)
	for i, c := range []struct {
		lag  time.Duration
		want bool
	}{{0, false}, {30 * time.Second, false}, {0, false}, {4 * tuning.AdmissionTargetLag, false}, {4 * tuning.AdmissionTargetLag, true}} {
		at := begin.Add(time.Duration(i) * time.Minute)
		r.Update(at, at, LeaderLoad{Lag: c.lag}, nil)
		if r.Shedding() != c.want {
			t.Errorf("%d: shedding %v", i, !c.want)
		}
	}
}

// TestCountsOfRestartedNodesAndDelayedMessages checks that a restarted node counts from zero,
// and that a delayed copy of older counts is ignored.
func TestCountsOfRestartedNodesAndDelayedMessages(t *testing.T) {
	k := Key{"blue", "urgent"}
	at := begin
	r := NewRegulator(settings(), 1, at)
	report := func(started uint64, count int64) float64 {
		at = at.Add(tuning.AdmissionInterval)
		before := 0.0
		if d := r.demands[k]; d != nil {
			before = d.rate * math.Exp(-tuning.AdmissionInterval.Seconds()/tuning.AdmissionOfferedLoadDecay.Seconds())
		}
		o := OfferedLoad{Key: k, Count: count, AgingFactorSum: float64(count), PriorityWeightSum: float64(count)}
		r.Update(at, at, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Started: started, Loads: []OfferedLoad{o}}})
		if d := r.demands[k]; d != nil {
			return (d.rate - before) * tuning.AdmissionOfferedLoadDecay.Seconds()
		}
		return 0
	}
	for i, c := range []struct {
		started uint64
		count   int64
		want    float64
	}{{1, 1000, 0}, {1, 1030, 30}, {1, 1010, 0}, {1, 1030, 0}, {2, 7, 7}, {2, 9, 2}} {
		if got := report(c.started, c.count); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%d: counted %v, want %v", i, got, c.want)
		}
	}
}
