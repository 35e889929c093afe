package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/wire"
)

// TestFailingJobBacksOff: a job that fails everywhere leaves room to others,
// and a machine on which several jobs fail gets no more work.
func TestFailingJobBacksOff(t *testing.T) {
	l, tr := running(t)
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitError
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-1/0" {
		t.Fatal(ops(cs))
	}
	l.submit("job-2")
	l.pass(time.Second)
	l.commit()
	cs := l.report("m1", 1)
	if ops(cs) != "run job-2/0" {
		t.Fatalf("want job-2 only, got %q", ops(cs))
	}
	l.report("m1", 1, wire.TaskStatus{Task: "job-2/0", Attempt: cs[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitError})
	l.submit("job-3")
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 1); len(cs) != 0 {
		t.Fatalf("a faulty machine got %s", ops(cs))
	}
}

// TestJobFailingEverywhereQuarantinesNoMachine: a job that fails on every machine is tried on each,
// one task at a time and ever later, but gives none a bad name, however many such
// jobs there are; a machine on which others fail that end elsewhere is still found.
func TestJobFailingEverywhereQuarantinesNoMachine(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	machines := []string{"m1", "m2", "m3"}
	bad := map[string]bool{} // machines that fail everything
	lists := map[string][]wire.TaskStatus{}
	tried := map[string]int{}
	turn := func() {
		l.pass(time.Second)
		l.commit()
		for _, m := range machines {
			for _, cmd := range l.report(m, 1, lists[m]...) {
				switch cmd.Op {
				case wire.OpStart:
					id, _, _ := wire.SplitTask(cmd.Task)
					tried[id+" on "+m]++
					why := wire.ExitDone
					if id < "job-5" || bad[m] {
						why = wire.ExitError
					}
					lists[m] = append(lists[m], wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskExited, ExitReason: why})
				case wire.OpForget:
					lists[m] = slices.DeleteFunc(lists[m], func(r wire.TaskStatus) bool { return r.Task == cmd.Task && r.Attempt == cmd.Attempt })
				}
			}
		}
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		l.submit(id)
	}
	for range 300 {
		turn()
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		sum := 0
		for _, m := range machines {
			sum += tried[id+" on "+m]
		}
		if sum != len(machines) {
			t.Errorf("%s was tried %d times: %v", id, sum, tried)
		}
	}
	// All machines still take work; then one turns out to be faulty.
	bad["m1"] = true
	for i := range 30 {
		l.submit(fmt.Sprint("job-", 500+i))
		turn()
	}
	for range 5 {
		turn()
	}
	first := 0
	for what, n := range tried {
		if strings.HasPrefix(what, "job-5") && strings.HasSuffix(what, "m1") {
			first += n
		}
	}
	if first < 2 || first > 4 {
		t.Errorf("%d tasks of jobs that can run went to the faulty machine", first)
	}
	for i := range 30 {
		if v := l.Query(fmt.Sprint("job-", 500+i)); v.State != wire.JobDone {
			t.Errorf("job-%d: %+v", 500+i, v)
		}
	}
	l.ApplyMachineList(l.now, l.now, nil)
	for range 70 {
		l.pass(time.Second)
		if provisions(l.PlanScaling(l.now)) {
			return
		}
	}
	t.Error("where all machines have failed it, a job needs another one")
}
