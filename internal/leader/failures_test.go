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

// TestFailingJobBacksOff checks that a job whose tasks fail leaves room for other jobs, and that a
// machine on which several jobs fail gets no more work.
func TestFailingJobBacksOff(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	task.State, task.ExitReason = wire.TaskExited, wire.ExitError
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	l.submit("job-2")
	l.tickAfter(time.Second)
	l.commit()
	cs := l.sendHeartbeat("m1", 1)
	if formatCommands(cs) != "run job-2/0" {
		t.Fatalf("want job-2 only, got %q", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1, wire.TaskStatus{Task: "job-2/0", Attempt: cs[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitError})
	l.submit("job-3")
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("a faulty machine got %s", formatCommands(cs))
	}
}

// TestJobFailingEverywhereQuarantinesNoMachine checks that a job that fails on every machine is
// tried once on each, one task at a time and with growing delays. No number of such jobs gets a
// machine quarantined, but a machine is still quarantined if jobs fail on it that complete
// elsewhere.
func TestJobFailingEverywhereQuarantinesNoMachine(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	machines := []string{"m1", "m2", "m3"}
	faulty := map[string]bool{} // machines on which every task fails
	lists := map[string][]wire.TaskStatus{}
	startCounts := map[string]int{}
	step := func() {
		l.tickAfter(time.Second)
		l.commit()
		for _, m := range machines {
			for _, cmd := range l.sendHeartbeat(m, 1, lists[m]...) {
				switch cmd.Op {
				case wire.OpStart:
					id, _, _ := wire.SplitTask(cmd.Task)
					startCounts[id+" on "+m]++
					exitReason := wire.ExitDone
					if id < "job-5" || faulty[m] {
						exitReason = wire.ExitError
					}
					lists[m] = append(lists[m], wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskExited, ExitReason: exitReason})
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
		step()
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		total := 0
		for _, m := range machines {
			total += startCounts[id+" on "+m]
		}
		if total != len(machines) {
			t.Errorf("%s was started %d times: %v", id, total, startCounts)
		}
	}
	// All machines are still schedulable. Now one becomes faulty.
	faulty["m1"] = true
	for i := range 30 {
		l.submit(fmt.Sprint("job-", 500+i))
		step()
	}
	for range 5 {
		step()
	}
	onFaulty := 0
	for key, n := range startCounts {
		if strings.HasPrefix(key, "job-5") && strings.HasSuffix(key, "m1") {
			onFaulty += n
		}
	}
	if onFaulty < 2 || onFaulty > 4 {
		t.Errorf("%d tasks of jobs that complete elsewhere went to the faulty machine", onFaulty)
	}
	for i := range 30 {
		if v := l.Query(fmt.Sprint("job-", 500+i)); v.State != wire.JobDone {
			t.Errorf("job-%d: %+v", 500+i, v)
		}
	}
	l.ApplyMachineList(l.now, l.now, nil)
	for range 70 {
		l.tickAfter(time.Second)
		if provisions(l.PlanScaling(l.now)) {
			return
		}
	}
	t.Error("no machine is provisioned for the jobs that have failed on all machines")
}
