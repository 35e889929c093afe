package leader_test

import (
	"encoding/json"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// TestLostSessionStaysLost: after a machine's lease has run out its task runs
// elsewhere; a late report of the lost session must not bring it back.
func TestLostSessionStaysLost(t *testing.T) {
	l, tr := running(t)
	l.pass(17 * time.Second)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	cs := l.report("m2", 1)
	if ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
	if cs := l.report("m1", 1, tr); len(cs) != 0 {
		t.Fatalf("a late report of a lost session got %s", ops(cs))
	}
	l.report("m2", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatalf("running %d", v.RunningTasks)
	}
}

// TestUnansweredCallKeepsItsTask: a start that may come minutes late binds
// the task to the machine, and is not forgotten there while it may come.
func TestUnansweredCallKeepsItsTask(t *testing.T) {
	l, call, tr := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectUnknown, nil)
	if cs := l.report("m1", 1); ops(cs) != "run job-1/0" || cs[0].Attempt != tr.Attempt {
		t.Fatalf("want the same start again, got %s", ops(cs))
	}
	l.report("m1", 1)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); len(cs) != 0 {
		t.Fatalf("placed elsewhere: %s", ops(cs))
	}
	l.report("m1", 1, tr)
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitError
	for range 2 {
		if cs := l.report("m1", 1, tr); len(cs) != 0 {
			t.Fatalf("while the start may come late: %s", ops(cs))
		}
	}
	if cs := l.report("m1", 2, tr); ops(cs) != "reap job-1/0" {
		t.Fatalf("in a new session: %q", ops(cs))
	}
}

// TestReorderedAnswerIsNoProof: the answer to a direct call can arrive while
// the answer to an earlier report, with a start in it, is still on its way.
func TestReorderedAnswerIsNoProof(t *testing.T) {
	l, call, _ := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectNotDelivered, nil)
	if cs := l.report("m1", 1); ops(cs) != "run job-1/0" {
		t.Fatal(ops(cs))
	}
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	l.commit()
	l.seq++
	l.DirectCallDone(l.now, call, leader.DirectReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5})
	l.commit()
	if l.store["j/job-1"] == nil {
		t.Fatal("the task was taken for gone while its start was on its way")
	}
	l.report("m1", 1)
	l.commit()
	if l.store["j/job-1"] != nil {
		t.Fatal("the next report proves that the start did not run")
	}
}

// TestMachineThatLosesAnswersIsReplaced: a machine's reports arrive, but nothing it is told
// gets there. Its task runs elsewhere as soon as its new session shows that its
// lease has run out, it gets no more work, and it is released.
func TestMachineThatLosesAnswersIsReplaced(t *testing.T) {
	l, tr := running(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 5 {
		l.pass(3 * time.Second)
		l.report("m1", 1, tr)
	}
	// Its lease of 15 s has run out: a new session, and the task is gone.
	l.pass(2 * time.Second)
	l.report("m1", 2)
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m1", 2); len(cs) != 0 {
		t.Fatalf("a deaf machine got %s", ops(cs))
	}
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
	for i := range 12 {
		l.pass(3 * time.Second)
		l.report("m2", 1)
		l.report("m1", uint64(2+i/5))
		if l.planned("m1") != nil {
			return
		}
	}
	t.Fatal("not replaced")
}

// TestIgnoredStartsGoElsewhere: a machine that ignores several answers in a
// row keeps no task waiting, long before its lease shows why.
func TestIgnoredStartsGoElsewhere(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	for range 4 {
		l.report("m1", 1)
	}
	l.report("m2", 1)
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", ops(cs))
	}
}

// TestMachineThatNeverLearnsTheTerm: a successor hears a machine whose worker never
// learns of the new term. The task that it may hold does not wait for ever: the
// machine is released, and only that frees the task.
func TestMachineThatNeverLearnsTheTerm(t *testing.T) {
	l, tr := running(t)
	next := newLeader(t, 6, l.now, l.store)
	next.ApplyMachineList(next.now, next.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	seq := uint64(100)
	next.onlyAfterRelease(3*time.Second, func() {
		seq++
		next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: seq, FencingToken: 5, Tasks: []wire.TaskStatus{tr}}, true)
	})
}

// TestLateCopiesRenewNoLease: reports that come again, late, neither keep a
// lease from being presumed over nor get an answer, which would renew it.
func TestLateCopiesRenewNoLease(t *testing.T) {
	l, tr := running(t)
	late := &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5, Tasks: []wire.TaskStatus{tr}}
	for range 10 {
		l.pass(2 * time.Second)
		if a, receipt := l.HandleHeartbeat(l.now, late, true); receipt != leader.HeartbeatStale || len(a.Commands) != 0 {
			t.Fatalf("a late copy was answered: %v %+v", receipt, a)
		}
		l.report("m2", 1)
	}
	l.pass(time.Second)
	l.commit()
	if cs := l.report("m2", 1); ops(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere once the lease is over, got %q", ops(cs))
	}
	late.Sequence += 100
	if _, receipt := l.HandleHeartbeat(l.now, late, true); receipt != leader.HeartbeatStale {
		t.Fatal("a session known to be over came back")
	}
}

// TestNewWorkerIsNotTheOldOne: a worker that answers a direct call with less
// than was known before the call is another one on the same machine. What it
// may hold is free only once the machine is released.
func TestNewWorkerIsNotTheOldOne(t *testing.T) {
	l, call, _ := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectReplied, &wire.Heartbeat{
		Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: 5,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: call.Request.Commands[0].Attempt, State: wire.TaskRunning}},
	})
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	released := false
	var release []string
	for i := range 20 {
		l.pass(2 * time.Second)
		if i == 11 { // long after its lease would be over
			if len(release) == 0 {
				t.Fatal("not released")
			}
			released = true
			l.ReleaseDone(l.now, release)
		}
		l.report("m2", 1)
		l.commit()
		if cs := l.report("m2", 1); len(cs) != 0 && !released {
			t.Fatalf("placed elsewhere: %s", ops(cs))
		} else if len(cs) != 0 {
			return
		}
		if planned := l.planned("m1"); planned != nil {
			release = planned
		}
	}
	t.Fatal("not placed after its release")
}

// TestUnansweredCallOutlivesTheLease: when a machine's lease is presumed
// over, a start sent directly without an answer may still run, should a new
// worker have got it: it stays bound until the machine is released.
func TestUnansweredCallOutlivesTheLease(t *testing.T) {
	l, call, _ := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectUnknown, nil)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	l.onlyAfterRelease(time.Second, func() {})
}

// TestReplacedWorkerIsReleased: a new worker on the machine sends reports that
// look like late copies. Once the lease of the old one is over the machine is
// replaced; it need not be silent for long on top.
func TestReplacedWorkerIsReleased(t *testing.T) {
	l, _ := running(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for i := range 9 {
		l.pass(3 * time.Second)
		_, receipt := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: uint64(i%2 + 1)}, true)
		if receipt != leader.HeartbeatStale {
			t.Fatal("taken for the old worker")
		}
		if l.planned("m1") != nil {
			return
		}
	}
	t.Fatal("not replaced")
}

// TestReorderedReportIsAnswered: the answer to a direct call can come before an
// older report that takes the way through another node. That report is no late
// copy: refused, its worker would leave its node. A copy of it is one.
func TestReorderedReportIsAnswered(t *testing.T) {
	l, call, tr := leaderWithUnansweredCall(t)
	l.seq += 2
	l.DirectCallDone(l.now, call, leader.DirectReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5, Tasks: []wire.TaskStatus{tr}})
	overtaken := &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq - 1, FencingToken: 5}
	if a, receipt := l.HandleHeartbeat(l.now, overtaken, true); receipt != leader.HeartbeatApplied || len(a.Commands) != 0 {
		t.Fatalf("%v %+v", receipt, a)
	}
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatal("an overtaken report moved the state back")
	}
	if _, receipt := l.HandleHeartbeat(l.now, overtaken, true); receipt != leader.HeartbeatStale {
		t.Fatal("its copy was answered")
	}
}
