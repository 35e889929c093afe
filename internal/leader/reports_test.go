package leader_test

import (
	"encoding/json"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// TestExpiredSessionIsNotRevived checks that, once a lease has expired and the task runs elsewhere,
// a late heartbeat of the expired session changes nothing.
func TestExpiredSessionIsNotRevived(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.tickAfter(17 * time.Second)
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	cs := l.sendHeartbeat("m2", 1)
	if formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", formatCommands(cs))
	}
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatalf("a late heartbeat of an expired session got %s", formatCommands(cs))
	}
	l.sendHeartbeat("m2", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatalf("%d tasks running", v.RunningTasks)
	}
}

// TestLateStartKeepsTaskOnMachine checks that a start that may arrive minutes late keeps the task
// allocated to its machine, and that its exit is not forgotten there before a new session.
func TestLateStartKeepsTaskOnMachine(t *testing.T) {
	l, call, task := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-1/0" || cs[0].Attempt != task.Attempt {
		t.Fatalf("want the same start again, got %s", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1)
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("placed elsewhere: %s", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1, task)
	task.State, task.ExitReason = wire.TaskExited, wire.ExitError
	for range 2 {
		if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
			t.Fatalf("forgotten while a late start may arrive: %s", formatCommands(cs))
		}
	}
	if cs := l.sendHeartbeat("m1", 2, task); formatCommands(cs) != "reap job-1/0" {
		t.Fatalf("in a new session: %q", formatCommands(cs))
	}
}

// TestOvertakingReplyProvesNothing checks that the reply to a direct call does not prove a task
// absent: the response to an earlier heartbeat, which carries the start, may still be in flight.
func TestOvertakingReplyProvesNothing(t *testing.T) {
	l, call, _ := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallNotDelivered, nil)
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	l.seq++
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5})
	l.commit()
	if l.store["j/job-1"] == nil {
		t.Fatal("the task was released while its start was in flight")
	}
	l.sendHeartbeat("m1", 1)
	l.commit()
	if l.store["j/job-1"] != nil {
		t.Fatal("the task was not released although the next heartbeat does not list it")
	}
}

// TestMachineWithoutResponsesIsReleased checks a machine whose heartbeats arrive but that receives
// no responses. Its task is placed elsewhere once a new session shows that the lease has expired.
// The machine gets no more work and is released.
func TestMachineWithoutResponsesIsReleased(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 5 {
		l.tickAfter(3 * time.Second)
		l.sendHeartbeat("m1", 1, task)
	}
	// The lease of 15 s has expired: the agent begins a new session without the task.
	l.tickAfter(2 * time.Second)
	l.sendHeartbeat("m1", 2)
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m1", 2); len(cs) != 0 {
		t.Fatalf("a machine without responses got %s", formatCommands(cs))
	}
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", formatCommands(cs))
	}
	for i := range 12 {
		l.tickAfter(3 * time.Second)
		l.sendHeartbeat("m2", 1)
		l.sendHeartbeat("m1", uint64(2+i/5))
		if l.plannedRelease("m1") != nil {
			return
		}
	}
	t.Fatal("m1 not released")
}

// TestIgnoredStartsGoElsewhere checks that the task of a machine that ignores several responses in a
// row is placed elsewhere, long before the lease expires.
func TestIgnoredStartsGoElsewhere(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submit("job-1")
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	for range 4 {
		l.sendHeartbeat("m1", 1)
	}
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere, got %q", formatCommands(cs))
	}
}

// TestMachineThatNeverSeesTheTermIsReleased checks a machine whose heartbeats reach a successor but
// whose agent never sees the new term. The machine is released, and only then its task is placed
// elsewhere.
func TestMachineThatNeverSeesTheTermIsReleased(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	next := newLeader(t, 6, l.now, l.store)
	next.ApplyMachineList(next.now, next.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	seq := uint64(100)
	next.checkPlacedOnlyAfterRelease(3*time.Second, func() {
		seq++
		next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: seq, FencingToken: 5, Tasks: []wire.TaskStatus{task}}, true)
	})
}

// TestDuplicateHeartbeatsRenewNoLease checks that late duplicates of a heartbeat do not delay the
// expiry of the lease and get no response, which would renew it.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	late := &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5, Tasks: []wire.TaskStatus{task}}
	for range 10 {
		l.tickAfter(2 * time.Second)
		if response, outcome := l.HandleHeartbeat(l.now, late, true); outcome != leader.HeartbeatStale || len(response.Commands) != 0 {
			t.Fatalf("response to a late duplicate: %v %+v", outcome, response)
		}
		l.sendHeartbeat("m2", 1)
	}
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("want a start elsewhere once the lease has expired, got %q", formatCommands(cs))
	}
	late.Sequence += 100
	if _, outcome := l.HandleHeartbeat(l.now, late, true); outcome != leader.HeartbeatStale {
		t.Fatal("an expired session was revived")
	}
}

// TestReplacedAgentIsDetectedByDirectReply checks that an agent whose reply to a direct call is
// older than the state known before the call counts as a new agent on the same machine. Tasks that
// it may have are placed elsewhere only after the machine is released.
func TestReplacedAgentIsDetectedByDirectReply(t *testing.T) {
	l, call, _ := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{
		Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: 5,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: call.Request.Commands[0].Attempt, State: wire.TaskRunning}},
	})
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	released := false
	var release []string
	for i := range 20 {
		l.tickAfter(2 * time.Second)
		if i == 11 { // long after its lease has expired
			if len(release) == 0 {
				t.Fatal("m1 not released")
			}
			released = true
			l.FinishRelease(l.now, release)
		}
		l.sendHeartbeat("m2", 1)
		l.commit()
		if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 && !released {
			t.Fatalf("placed elsewhere: %s", formatCommands(cs))
		} else if len(cs) != 0 {
			return
		}
		if planned := l.plannedRelease("m1"); planned != nil {
			release = planned
		}
	}
	t.Fatal("not placed after the release of m1")
}

// TestLateStartOutlivesTheLease checks that a start sent by a direct call without a reply stays
// allocated after the lease has expired, because a new agent may have received it. Only the release
// of the machine frees the task.
func TestLateStartOutlivesTheLease(t *testing.T) {
	l, call, _ := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	l.checkPlacedOnlyAfterRelease(time.Second, func() {})
}

// TestMachineOfReplacedAgentIsReleased checks that a machine is released soon after the lease has
// expired if a new agent on it sends heartbeats that look like late duplicates.
func TestMachineOfReplacedAgentIsReleased(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for i := range 9 {
		l.tickAfter(3 * time.Second)
		_, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: uint64(i%2 + 1)}, true)
		if outcome != leader.HeartbeatStale {
			t.Fatal("heartbeat of a new agent not detected as stale")
		}
		if l.plannedRelease("m1") != nil {
			return
		}
	}
	t.Fatal("m1 not released")
}

// TestOvertakenHeartbeatGetsResponse checks that a heartbeat that came through another node and was
// overtaken by the reply to a direct call gets a response: without one, its agent would switch to
// another node. A duplicate of it gets none.
func TestOvertakenHeartbeatGetsResponse(t *testing.T) {
	l, call, task := leaderWithCallInFlight(t)
	l.seq += 2
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq, FencingToken: 5, Tasks: []wire.TaskStatus{task}})
	overtaken := &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq - 1, FencingToken: 5}
	if response, outcome := l.HandleHeartbeat(l.now, overtaken, true); outcome != leader.HeartbeatApplied || len(response.Commands) != 0 {
		t.Fatalf("%v %+v", outcome, response)
	}
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatal("an overtaken heartbeat changed the task state")
	}
	if _, outcome := l.HandleHeartbeat(l.now, overtaken, true); outcome != leader.HeartbeatStale {
		t.Fatal("response to a duplicate of the overtaken heartbeat")
	}
}
