package admission

import (
	"fmt"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// overload brings a regulator into a flood: blue submits 200 new jobs a second, the other
// teams two each, and the state service has a second of work waiting.
type overload struct {
	*Regulator
	at     time.Time
	counts map[Key]*OfferedLoad
	number int
}

func newOverload(term uint64, at time.Time) *overload {
	return &overload{Regulator: NewRegulator(settings(), term, at), at: at, counts: map[Key]*OfferedLoad{}}
}

// second lets a second pass, with submissions counted by two nodes that both send the same
// jobs on; it returns how many were admitted by team.
func (o *overload) second(waiting int) map[string]int {
	admitted := map[string]int{}
	for team, n := range map[string]int{"blue": 200, "green": 2, "guests": 2} {
		for range n {
			o.number++
			q := Request{ID: fmt.Sprintf("job-%06d", o.number), Key: Key{team, "urgent"}, PriorityRank: 1, Tasks: 1}
			countRequest(o.counts, &q)
			if o.Admit(o.at.Add(time.Duration(o.number%100)*time.Millisecond*9), &q, &Claim{}, TaskLoad{}).Admitted {
				admitted[team]++
			}
		}
	}
	o.at = o.at.Add(tuning.AdmissionInterval)
	n := NodeOfferedLoad{Node: "a", Started: 1}
	for _, c := range o.counts {
		n.Loads = append(n.Loads, *c)
	}
	o.Update(o.at, o.at, LeaderLoad{Waiting: waiting, Written: o.written + 40}, []NodeOfferedLoad{n})
	return admitted
}

// TestFloodIsShed: under pressure the flooding team is cut down to what is left by the others,
// who lose little; with the pressure gone and no more submitted, shedding ends.
func TestFloodIsShed(t *testing.T) {
	o := newOverload(1, begin)
	o.second(0)
	if o.Shedding() {
		t.Fatal("sheds without pressure")
	}
	for range 3 {
		o.second(80)
	}
	if !o.Shedding() {
		t.Fatal("doesn't shed")
	}
	totals := map[string]int{}
	for range 20 {
		for team, n := range o.second(15) {
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
		t.Error("goes on shedding with nothing to shed")
	}
}

// TestBurstsAtTwoNodesStayWithinThePolicy: followers that let far too much through at the
// same moment, under whatever recent revision, get no more admitted than the budget allows.
func TestBurstsAtTwoNodesStayWithinThePolicy(t *testing.T) {
	o := newOverload(1, begin)
	for range 5 {
		o.second(80)
	}
	budget := o.Summary().Budget
	admitted := 0
	for i := range 1000 {
		for _, node := range []string{"a", "b"} {
			q := Request{ID: fmt.Sprint("job-5", node, i), Key: Key{"blue", "urgent"}, Tasks: 1}
			if o.Admit(o.at, &q, &Claim{Revision: o.Policy().Revision - uint64(i%2)}, TaskLoad{}).Admitted {
				admitted++
			}
		}
	}
	if most := budget*tuning.AdmissionBurst.Seconds() + 1; float64(admitted) > most {
		t.Errorf("%d admitted at once with a budget of %.1f a second", admitted, budget)
	}
}

// TestClaimsOfOtherNodes: a submission without a claim comes from a node that counts nothing,
// and one decided by an old policy was decided too long ago: the leader applies its own.
func TestClaimsOfOtherNodes(t *testing.T) {
	o := newOverload(1, begin)
	for range 5 {
		o.second(80)
	}
	before := len(o.uncounted)
	refused := 0
	for i := range 200 {
		for _, claim := range []*Claim{nil, {Revision: 1}} {
			q := Request{ID: fmt.Sprint("job-7", i), Key: Key{"guests", "nightly"}, Tasks: 1}
			o.policy.Shares = []Share{{q.Key, 0}}
			if !o.Admit(o.at, &q, claim, TaskLoad{}).Admitted {
				refused++
			}
		}
	}
	if before != 0 || o.uncounted[Key{"guests", "nightly"}].Count != 200 || refused != 400 {
		t.Errorf("%d before, %+v, %d refused", before, o.uncounted, refused)
	}
}

// TestRevisionsGoOnWithTheNextLeader: a leader of a later term goes on where the former one
// was, as far as the clocks agree, and a wrong clock takes nothing back within a term.
func TestRevisionsGoOnWithTheNextLeader(t *testing.T) {
	o := newOverload(1, begin)
	for range 10 {
		o.second(80)
	}
	next := newOverload(2, o.at)
	next.second(80)
	if a, b := o.Policy().Revision, next.Policy().Revision; b < a || b > a+2 {
		t.Errorf("revision %d after %d", b, a)
	}
	was := next.Policy().Revision
	next.at = next.at.Add(tuning.AdmissionInterval)
	next.Update(next.at, begin.Add(-time.Hour), LeaderLoad{}, nil)
	if next.Policy().Revision <= was {
		t.Error("a revision was taken back")
	}
}

// TestHugeJobsLeaveRoom: unfinished tasks of one team leave room for those of the others.
func TestHugeJobsLeaveRoom(t *testing.T) {
	r := NewRegulator(settings(), 1, begin)
	asks := func(team string, all, own int) bool {
		q := Request{ID: "job-1", Key: Key{team, "urgent"}, Tasks: 100_000}
		return r.Admit(begin, &q, &Claim{}, TaskLoad{All: all, Team: own}).Admitted
	}
	if most := int(tuning.MaxActiveTasks * (1 - tuning.AdmissionTaskReserveShare)); !asks("blue", most-100_000, most-100_000) || asks("blue", most, most) {
		t.Error("blue takes the room kept for others, or may not borrow")
	} else if !asks("green", most, 0) {
		t.Error("green is shut out by blue's tasks")
	}
}

// TestLagSheds: a leader that doesn't get round to its work sheds, too; one that has stood
// still once doesn't.
func TestLagSheds(t *testing.T) {
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
