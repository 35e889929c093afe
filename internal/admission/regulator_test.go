package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// overloadedRegulator is a regulator under overload: team blue submits 200 new jobs per second, the
// other teams two each.
type overloadedRegulator struct {
	*Regulator
	now    time.Time
	counts map[Key]*OfferedLoad
	jobs   int // submitted so far
}

func newOverloadedRegulator(term uint64, now time.Time) *overloadedRegulator {
	return &overloadedRegulator{Regulator: NewRegulator(testSettings(), term, now), now: now, counts: map[Key]*OfferedLoad{}}
}

// simulateSecond simulates one second of submissions, and then an update of the regulator with
// the given number of pending writes. It returns the number of admitted jobs by team.
func (o *overloadedRegulator) simulateSecond(pendingWrites int) map[string]int {
	admitted := map[string]int{}
	for team, n := range map[string]int{"blue": 200, "green": 2, "guests": 2} {
		for range n {
			o.jobs++
			request := Request{ID: fmt.Sprintf("job-%06d", o.jobs), Key: Key{team, "urgent"}, PriorityRank: 1, Tasks: 1}
			countRequest(o.counts, &request)
			if o.Admit(o.now.Add(time.Duration(o.jobs%100)*time.Millisecond*9), &request, &Claim{}, TaskLoad{}).Admitted {
				admitted[team]++
			}
		}
	}
	o.now = o.now.Add(tuning.AdmissionInterval)
	n := NodeOfferedLoad{Node: "a", Incarnation: 1}
	for _, c := range o.counts {
		n.Loads = append(n.Loads, *c)
	}
	o.Update(o.now, o.now, LeaderLoad{PendingWrites: pendingWrites, SentWrites: o.sentWrites + 40}, []NodeOfferedLoad{n})
	return admitted
}

// TestFloodIsShed checks that in an overload by one team few jobs of the other teams are
// rejected, that the flooding team gets the rest of the budget, and that shedding ends when
// there are neither pending writes nor submissions.
func TestFloodIsShed(t *testing.T) {
	o := newOverloadedRegulator(1, startTime)
	o.simulateSecond(0)
	if o.IsShedding() {
		t.Fatal("sheds load without pending writes")
	}
	for range 3 {
		o.simulateSecond(80)
	}
	if !o.IsShedding() {
		t.Fatal("doesn't shed load with 80 pending writes")
	}
	totals := map[string]int{}
	for range 20 {
		for team, n := range o.simulateSecond(15) {
			totals[team] += n
		}
	}
	if totals["blue"] > 20*50 || totals["blue"] < 20 {
		t.Errorf("blue: admitted %d of 4000 jobs in 20 s, want 20 to 1000", totals["blue"])
	}
	for _, team := range []string{"green", "guests"} {
		if totals[team] < 30 {
			t.Errorf("%s: admitted %d of 40 jobs in a flood of blue, want at least 30", team, totals[team])
		}
	}
	for range 60 {
		o.now = o.now.Add(tuning.AdmissionInterval)
		o.Update(o.now, o.now, LeaderLoad{}, nil)
	}
	if o.IsShedding() || len(o.Policy().Shares) > 0 {
		t.Error("still sheds load after a minute without load")
	}
}

// TestBurstsAtTwoNodesStayWithinTheBudget checks that the leader admits no more jobs than the
// budget allows, even if followers forward far too many at once after applying a recent
// policy.
func TestBurstsAtTwoNodesStayWithinTheBudget(t *testing.T) {
	o := newOverloadedRegulator(1, startTime)
	for range 5 {
		o.simulateSecond(80)
	}
	budget := o.Summary().Budget
	admitted := 0
	for i := range 1000 {
		for _, node := range []string{"a", "b"} {
			request := Request{ID: fmt.Sprint("job-5", node, i), Key: Key{"blue", "urgent"}, Tasks: 1}
			if o.Admit(o.now, &request, &Claim{Revision: o.Policy().Revision - uint64(i%2)}, TaskLoad{}).Admitted {
				admitted++
			}
		}
	}
	if limit := budget*tuning.AdmissionBurstTime.Seconds() + 1; float64(admitted) > limit {
		t.Errorf("%d jobs admitted at once with a budget of %.1f per second, want at most those of AdmissionBurstTime", admitted, budget)
	}
}

// TestMissingAndOutdatedClaims checks that the leader counts submissions without a claim,
// which come from nodes without admission control, and that it applies its own policy to
// them and to jobs admitted under an outdated revision.
func TestMissingAndOutdatedClaims(t *testing.T) {
	o := newOverloadedRegulator(1, startTime)
	for range 5 {
		o.simulateSecond(80)
	}
	unclaimedBefore := len(o.unclaimed)
	rejected := 0
	for i := range 200 {
		for _, claim := range []*Claim{nil, {Revision: 1}} {
			request := Request{ID: fmt.Sprint("job-7", i), Key: Key{"guests", "nightly"}, Tasks: 1}
			o.policy.Shares = []Share{{request.Key, 0}}
			if !o.Admit(o.now, &request, claim, TaskLoad{}).Admitted {
				rejected++
			}
		}
	}
	if unclaimedBefore != 0 || o.unclaimed[Key{"guests", "nightly"}].Count != 200 || rejected != 400 {
		t.Errorf("got %d keys without a claim before, then %+v, and %d rejections; want 0, 200 submissions, 400", unclaimedBefore, o.unclaimed, rejected)
	}
}

// TestRevisionsContinueInTheNextTerm checks that a successor continues its predecessor's
// revisions if their clocks agree, and that revisions increase within a term even if the
// wall clock is set back.
func TestRevisionsContinueInTheNextTerm(t *testing.T) {
	o := newOverloadedRegulator(1, startTime)
	for range 10 {
		o.simulateSecond(80)
	}
	successor := newOverloadedRegulator(2, o.now)
	successor.simulateSecond(80)
	if last, first := o.Policy().Revision, successor.Policy().Revision; first < last || first > last+2 {
		t.Errorf("the next term begins with revision %d after %d, want 0 to 2 more", first, last)
	}
	previous := successor.Policy().Revision
	successor.now = successor.now.Add(tuning.AdmissionInterval)
	successor.Update(successor.now, startTime.Add(-time.Hour), LeaderLoad{}, nil)
	if successor.Policy().Revision <= previous {
		t.Error("the revision did not increase when the wall clock was set back")
	}
}

// TestHugeJobsLeaveTaskCapacity checks that one team may not use the task capacity that is
// reserved for the other teams, and that these may use it.
func TestHugeJobsLeaveTaskCapacity(t *testing.T) {
	r := NewRegulator(testSettings(), 1, startTime)
	admits := func(team string, allTasks, teamTasks int) bool {
		request := Request{ID: "job-1", Key: Key{team, "urgent"}, Tasks: 100_000}
		return r.Admit(startTime, &request, &Claim{}, TaskLoad{Total: allTasks, Team: teamTasks}).Admitted
	}
	if limit := int(tuning.MaxUnfinishedTasks * (1 - tuning.AdmissionTaskReserveShare)); !admits("blue", limit-100_000, limit-100_000) || admits("blue", limit, limit) {
		t.Error("blue may use capacity reserved for the other teams, or may not use all of the rest")
	} else if !admits("green", limit, 0) {
		t.Error("green is blocked by blue's tasks")
	}
}

// TestLagStartsShedding checks that a leader whose periodic work lags in two successive
// updates starts shedding, and that a single suspension of its process doesn't start it.
func TestLagStartsShedding(t *testing.T) {
	r := NewRegulator(testSettings(), 1, startTime)
	for i, c := range []struct {
		lag  time.Duration
		want bool
	}{{0, false}, {30 * time.Second, false}, {0, false}, {4 * tuning.AdmissionTargetLag, false}, {4 * tuning.AdmissionTargetLag, true}} {
		at := startTime.Add(time.Duration(i) * time.Minute)
		r.Update(at, at, LeaderLoad{Lag: c.lag}, nil)
		if r.IsShedding() != c.want {
			t.Errorf("update %d: got shedding %v, want the opposite", i, !c.want)
		}
	}
}

// TestCountsOfRestartedNodesAndDelayedMessages checks that the counts of a restarted node are
// taken to begin at zero, and that a delayed copy of older counts is ignored.
func TestCountsOfRestartedNodesAndDelayedMessages(t *testing.T) {
	k := Key{"blue", "urgent"}
	at := startTime
	r := NewRegulator(testSettings(), 1, at)
	// counted reports a count to the regulator and returns how many submissions it added.
	counted := func(incarnation uint64, count int64) float64 {
		at = at.Add(tuning.AdmissionInterval)
		before := 0.0
		if d := r.demands[k]; d != nil {
			before = d.rate * math.Exp(-tuning.AdmissionInterval.Seconds()/tuning.AdmissionOfferedLoadDecay.Seconds())
		}
		o := OfferedLoad{Key: k, Count: count, AgingFactorSum: float64(count), PriorityWeightSum: float64(count)}
		r.Update(at, at, LeaderLoad{}, []NodeOfferedLoad{{Node: "a", Incarnation: incarnation, Loads: []OfferedLoad{o}}})
		if d := r.demands[k]; d != nil {
			return (d.rate - before) * tuning.AdmissionOfferedLoadDecay.Seconds()
		}
		return 0
	}
	for i, c := range []struct {
		incarnation uint64
		count       int64
		want        float64
	}{{1, 1000, 0}, {1, 1030, 30}, {1, 1010, 0}, {1, 1030, 0}, {2, 7, 7}, {2, 9, 2}} {
		if got := counted(c.incarnation, c.count); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("report %d: counted %v, want %v", i, got, c.want)
		}
	}
}
