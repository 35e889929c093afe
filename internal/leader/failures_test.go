package leader_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// TestFailingJobBacksOff checks that a failed task is not retried at once, which leaves its capacity to
// other jobs, and that a machine on which several jobs fail gets no more work.
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
		t.Fatalf("got %q, want a start of job-2/0 only", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1, wire.TaskStatus{Task: "job-2/0", Attempt: cs[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitError})
	l.submit("job-3")
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 1); len(cs) != 0 {
		t.Fatalf("a machine on which two jobs have failed got %s, want no command", formatCommands(cs))
	}
}

// TestJobFailingEverywhereQuarantinesNoMachine checks that a job that fails on every machine is started on
// each, one task at a time and with growing delays, and on none twice within tuning.JobExclusionTime. It
// never waits for longer than 90 s, as the machines have capacity. However many such jobs fail on a
// machine, it is not quarantined. It is quarantined if jobs fail on it that complete on other machines. job-1 to
// job-4 fail on every machine, job-500 and later ones only on faulty machines.
func TestJobFailingEverywhereQuarantinesNoMachine(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	machines := []string{"m1", "m2", "m3"}
	faulty := map[string]bool{} // machines on which every task fails
	tasksByMachine := map[string][]wire.TaskStatus{}
	startCounts := map[string]int{}     // by "<job> on <machine>"
	lastStart := map[string]time.Time{} // by "<job> on <machine>", and by job
	// checkStart checks the times between starts of a job that fails on every machine.
	checkStart := func(id, machine string) {
		on := id + " on " + machine
		if before, started := lastStart[on]; started && l.now.Sub(before) < tuning.JobExclusionTime {
			t.Errorf("%s was started again after %v", on, l.now.Sub(before))
		}
		if before, started := lastStart[id]; started && l.now.Sub(before) > maxWaitBesideMachine {
			t.Errorf("%s waited for %v", id, l.now.Sub(before))
		}
		lastStart[on], lastStart[id] = l.now, l.now
	}
	advanceSecond := func() {
		l.tickAfter(time.Second)
		l.commit()
		for _, m := range machines {
			for _, cmd := range l.sendHeartbeat(m, 1, tasksByMachine[m]...) {
				switch cmd.Op {
				case wire.OpStart:
					id, _, _ := wire.SplitTask(cmd.Task)
					startCounts[id+" on "+m]++
					if id < "job-5" {
						checkStart(id, m)
					}
					exitReason := wire.ExitDone
					if id < "job-5" || faulty[m] {
						exitReason = wire.ExitError
					}
					tasksByMachine[m] = append(tasksByMachine[m], wire.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, State: wire.TaskExited, ExitReason: exitReason})
				case wire.OpForget:
					tasksByMachine[m] = slices.DeleteFunc(tasksByMachine[m], func(r wire.TaskStatus) bool { return r.Task == cmd.Task && r.Attempt == cmd.Attempt })
				}
			}
		}
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		l.submit(id)
	}
	for range 300 {
		advanceSecond()
	}
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		total := 0
		for _, m := range machines {
			total += startCounts[id+" on "+m]
			if startCounts[id+" on "+m] == 0 {
				t.Errorf("%s was not started on %s: %v", id, m, startCounts)
			}
		}
		// With delays of 2, 4, 8, 16, 32 and then 60 s, nine starts fit into 300 s.
		if total > 9 {
			t.Errorf("%s was started %d times in 300 s, want growing delays: %v", id, total, startCounts)
		}
		if l.now.Sub(lastStart[id]) > maxWaitBesideMachine {
			t.Errorf("%s was last started %v ago", id, l.now.Sub(lastStart[id]))
		}
	}
	// All machines are still schedulable. Now one becomes faulty.
	faulty["m1"] = true
	for i := range 30 {
		l.submit(fmt.Sprint("job-", 500+i))
		advanceSecond()
	}
	for range 5 {
		advanceSecond()
	}
	startsOnFaulty := 0
	for key, n := range startCounts {
		if strings.HasPrefix(key, "job-5") && strings.HasSuffix(key, "m1") {
			startsOnFaulty += n
		}
	}
	if startsOnFaulty < 2 || startsOnFaulty > 4 {
		t.Errorf("%d tasks of jobs that complete elsewhere were started on the faulty machine, want 2 to 4", startsOnFaulty)
	}
	for i := range 30 {
		if v := l.Query(fmt.Sprint("job-", 500+i)); v.State != wire.JobDone {
			t.Errorf("job-%d: got %+v, want state done", 500+i, v)
		}
	}
	l.ApplyMachineList(l.now, l.now, nil)
	for range 70 {
		l.tickAfter(time.Second)
		if hasProvisionCall(l.PlanScaling(l.now)) {
			return
		}
	}
	t.Error("no machine was provisioned for the jobs that have failed on all machines")
}
