package drain

import (
	"strings"
	"testing"
	"time"
)

// TestNext: drains run one at a time in the order of their creation; a paused one keeps its place
// and the next one runs.
func TestNext(t *testing.T) {
	var all []*Record
	for i, name := range []string{"c", "a", "b"} {
		all = append(all, NewRecord(Spec{Name: name}, now.Add(time.Duration(i)*time.Second)))
	}
	run := func() string {
		r, _ := Next(all)
		if r == nil {
			return ""
		}
		return r.Spec.Name
	}
	first, _ := Next(all)
	steps := []string{run()}
	first.Pause(Reason{Cause: PausedByOperator})
	steps = append(steps, run())
	first.Resume(now)
	steps = append(steps, run())
	for _, r := range all {
		if r.State == Running {
			r.Cancel()
		}
	}
	steps = append(steps, run())
	if got := strings.Join(steps, ""); got != "caac" {
		t.Errorf("ran %s", got)
	}
}

// TestDeadline: past its deadline a drain that waits is paused, unless it is forced.
func TestDeadline(t *testing.T) {
	for _, force := range []bool{false, true} {
		deadline := now.Add(time.Minute)
		r := NewRecord(Spec{Name: "a", Deadline: &deadline, Force: force}, now)
		r.State = Running
		reason := Reason{Cause: WaitNoAlternative, Team: "blue"}
		r.SetWaitReason(now, reason)
		if r.State != Running {
			t.Fatal("paused before the deadline")
		}
		r.SetWaitReason(now.Add(2*time.Minute), Reason{Cause: WaitMachineRelease})
		if r.State != Running {
			t.Fatal("paused while its machines are being released")
		}
		r.SetWaitReason(now.Add(2*time.Minute), reason)
		if (r.State == Paused) == force || r.Forced(now.Add(2*time.Minute)) != force || !strings.Contains(r.Reason.String(), "(team blue)") {
			t.Errorf("force %v: %s, %s", force, r.State, r.Reason)
		}
	}
}
