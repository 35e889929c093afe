package drain

import (
	"strings"
	"testing"
	"time"
)

// TestDrainsRunOneAtATime checks that drains run one at a time, the oldest pending one first, that the
// next one runs while one is paused, and that a resumed one runs before younger pending ones.
func TestDrainsRunOneAtATime(t *testing.T) {
	var all []*Record
	for i, name := range []string{"c", "a", "b"} {
		all = append(all, NewRecord(Spec{Name: name}, testNow.Add(time.Duration(i)*time.Second)))
	}
	runNext := func() string {
		r, _ := EnsureRunning(all)
		if r == nil {
			return ""
		}
		return r.Spec.Name
	}
	first, _ := EnsureRunning(all)
	order := []string{runNext()}
	first.Pause(Reason{Cause: PausedByOperator})
	order = append(order, runNext())
	first.Resume(testNow)
	order = append(order, runNext())
	for _, r := range all {
		if r.State == Running {
			r.Cancel()
		}
	}
	order = append(order, runNext())
	if got := strings.Join(order, ""); got != "caac" {
		t.Errorf("drains ran in the order %s, want caac", got)
	}
}

// TestDeadline checks that a waiting drain is paused after its deadline unless it has Force set or
// waits for machines to be released.
func TestDeadline(t *testing.T) {
	for _, force := range []bool{false, true} {
		deadline := testNow.Add(time.Minute)
		r := NewRecord(Spec{Name: "a", Deadline: &deadline, Force: force}, testNow)
		r.State = Running
		reason := Reason{Cause: WaitNoAlternative, Team: "blue"}
		r.SetWaitReason(testNow, reason)
		if r.State != Running {
			t.Fatal("the drain is paused before its deadline")
		}
		r.SetWaitReason(testNow.Add(2*time.Minute), Reason{Cause: WaitMachineRelease})
		if r.State != Running {
			t.Fatal("the drain is paused while it waits for its machines to be released")
		}
		r.SetWaitReason(testNow.Add(2*time.Minute), reason)
		if (r.State == Paused) == force || r.IsForced(testNow.Add(2*time.Minute)) != force || !strings.Contains(r.Reason.String(), "(team blue)") {
			t.Errorf("force %v: got state %s and reason %s, want it paused only without force, and a reason with the team", force, r.State, r.Reason)
		}
	}
}
