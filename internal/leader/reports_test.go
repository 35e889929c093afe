package leader_test

import (
	"encoding/json"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// TestExpiredSessionIsNotRevived checks that a late heartbeat of a session changes nothing after the
// lease of the session has expired and its task runs elsewhere.
func TestExpiredSessionIsNotRevived(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.tickAfter(17 * time.Second)
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	cs := l.sendHeartbeat("m2", 1)
	if formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0 on m2", formatCommands(cs))
	}
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatalf("a late heartbeat of an expired session got %s, want no command", formatCommands(cs))
	}
	l.sendHeartbeat("m2", 1, wire.TaskStatus{Task: "job-1/0", Attempt: cs[0].Attempt, State: wire.TaskRunning})
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatalf("%d tasks running, want 1", v.RunningTasks)
	}
}

// TestLateStartKeepsTaskOnMachine checks that a task stays allocated to its machine if its start was sent
// by a direct call with an uncertain result, which may arrive minutes late. After the task has exited,
// the agent is told to forget it only with a token that makes it refuse the late start.
func TestLateStartKeepsTaskOnMachine(t *testing.T) {
	l, call, task := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-1/0" || cs[0].Attempt != task.Attempt {
		t.Fatalf("got %s, want the same start again", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1)
	l.sendHeartbeat("m2", 1)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 {
		t.Fatalf("m2 got %s, want no command", formatCommands(cs))
	}
	l.sendHeartbeat("m1", 1, task)
	task.State, task.ExitReason = wire.TaskExited, wire.ExitError
	l.MarkTokensReserved(l.Term())
	for range 2 {
		if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 || l.lastToken != call.Request.FencingToken {
			t.Fatalf("got %s with token %d while the late start would be executed, want no command", formatCommands(cs), l.lastToken)
		}
	}
	l.MarkTokensReserved(l.LastTokenToReserve())
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-1/0" || l.lastToken <= call.Request.FencingToken {
		t.Fatalf("got %q with token %d, want the command to forget job-1/0 with a higher token than that of the call", formatCommands(cs), l.lastToken)
	}
}

// TestDirectReplyDoesNotProveTaskAbsent checks that a task is not released because the reply to a direct
// call does not list it: the response to an earlier heartbeat, which starts the task, may still be in
// flight.
func TestDirectReplyDoesNotProveTaskAbsent(t *testing.T) {
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallNotDelivered, nil)
	if cs := l.sendHeartbeat("m1", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	l.lastSequence++
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence, FencingToken: 5})
	l.commit()
	if l.store["j/job-1"] == nil {
		t.Fatal("the record of job-1 was deleted while a start was in flight")
	}
	l.sendHeartbeat("m1", 1)
	l.commit()
	if l.store["j/job-1"] != nil {
		t.Fatal("the record of job-1 was not deleted although the next heartbeat does not list the task")
	}
}

// TestMachineWithoutResponsesIsReleased checks that a machine gets no more work and is released if it
// receives no responses although its heartbeats arrive. Its task is placed elsewhere once a new session
// of its agent shows that the lease has expired.
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
		t.Fatalf("a machine that receives no responses got %s, want no command", formatCommands(cs))
	}
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0 on m2", formatCommands(cs))
	}
	for i := range 12 {
		l.tickAfter(3 * time.Second)
		l.sendHeartbeat("m2", 1)
		l.sendHeartbeat("m1", uint64(2+i/5)) // a new session whenever a lease has expired
		if l.planReleaseOf("m1") != nil {
			return
		}
	}
	t.Fatal("m1 was not released")
}

// TestIneffectiveStartIsPlacedElsewhere checks that a task is placed elsewhere, long before the lease
// expires, if the machine's heartbeats do not list it although several responses in a row have sent its
// start.
func TestIneffectiveStartIsPlacedElsewhere(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
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
		t.Fatalf("got %q, want a start of job-1/0 on m2", formatCommands(cs))
	}
}

// TestMachineThatNeverSeesTheTermIsReleased checks that a machine is released if its heartbeats reach a
// successor but still carry the earlier term, because no response of the successor reaches its agent.
// Its task is placed elsewhere only after the release.
func TestMachineThatNeverSeesTheTermIsReleased(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	successor := newLeader(t, 6, l.now, l.store)
	successor.ApplyMachineList(successor.now, successor.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	sequence := uint64(100)
	successor.checkPlacedOnlyAfterRelease(3*time.Second, func() {
		sequence++
		successor.HandleHeartbeat(successor.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: sequence, FencingToken: 5, Tasks: []wire.TaskStatus{task}}, true /* holdsLeaderLease */)
	})
}

// TestDuplicateHeartbeatsRenewNoLease checks that late duplicates of a heartbeat get no response, which
// would renew the lease. The leader can't tell them from heartbeats of a new agent, whose lease may
// last longer than that of the known one. So the task is placed elsewhere after the release of the machine,
// which the duplicates do not delay beyond the expiry of the known agent's lease.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, nil)
	duplicate := &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence, FencingToken: 5, Tasks: []wire.TaskStatus{task}}
	for range 10 {
		l.tickAfter(2 * time.Second)
		if response, outcome := l.HandleHeartbeat(l.now, duplicate, true /* holdsLeaderLease */); outcome != leader.HeartbeatRejected || len(response.Commands) != 0 {
			t.Fatalf("late duplicate: got outcome %v and response %+v, want HeartbeatRejected and no commands", outcome, response)
		}
		if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 {
			t.Fatalf("m2 got %s before the release of m1, want no command", formatCommands(cs))
		}
	}
	release := l.planReleaseOf("m1")
	if release == nil {
		t.Fatal("m1 is not released after its lease has expired")
	}
	l.FinishRelease(l.now, release)
	l.tickAfter(time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q after the release of m1, want a start of job-1/0 on m2", formatCommands(cs))
	}
	duplicate.Sequence += 100 // no longer a duplicate, but of the expired session
	if _, outcome := l.HandleHeartbeat(l.now, duplicate, true /* holdsLeaderLease */); outcome != leader.HeartbeatRejected {
		t.Fatal("a heartbeat of the expired session was not rejected, want HeartbeatRejected")
	}
}

// TestReplacedAgentIsDetectedByDirectReply checks that tasks are placed elsewhere only after the release
// of their machine if a reply to a direct call is older than the state known before the call. Such a
// reply comes from a new agent on the machine, which may run the tasks.
func TestReplacedAgentIsDetectedByDirectReply(t *testing.T) {
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{
		Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 1, FencingToken: 5,
		Tasks: []wire.TaskStatus{{Task: "job-1/0", Attempt: call.Request.Commands[0].Attempt, State: wire.TaskRunning}},
	})
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	released := false
	var machinesToRelease []string
	for i := range 20 {
		l.tickAfter(2 * time.Second)
		if i == 11 { // long after the lease of m1 has expired
			if len(machinesToRelease) == 0 {
				t.Fatal("m1 was not released")
			}
			released = true
			l.FinishRelease(l.now, machinesToRelease)
		}
		l.sendHeartbeat("m2", 1)
		l.commit()
		if cs := l.sendHeartbeat("m2", 1); len(cs) != 0 && !released {
			t.Fatalf("m2 got %s before the release of m1, want no command", formatCommands(cs))
		} else if len(cs) != 0 {
			return
		}
		if planned := l.planReleaseOf("m1"); planned != nil {
			machinesToRelease = planned
		}
	}
	t.Fatal("job-1/0 was not placed after the release of m1")
}

// TestLateStartStaysAllocatedAfterLease checks that a task whose start was sent by a direct call without
// a reply stays allocated to its machine after the lease has expired, because a new agent may have
// received the start. The task is placed elsewhere only after the machine is released.
func TestLateStartStaysAllocatedAfterLease(t *testing.T) {
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	l.checkPlacedOnlyAfterRelease(time.Second, func() {})
}

// TestMachineOfReplacedAgentIsReleased checks that a machine is released soon after its lease has expired
// if a new agent on it sends heartbeats that look like late duplicates of the earlier agent's heartbeats.
func TestMachineOfReplacedAgentIsReleased(t *testing.T) {
	l, _ := leaderWithRunningTask(t)
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for i := range 9 {
		l.tickAfter(3 * time.Second)
		_, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: uint64(i%2 + 1)}, true /* holdsLeaderLease */)
		if outcome != leader.HeartbeatRejected {
			t.Fatal("heartbeat of the new agent was not rejected, want HeartbeatRejected")
		}
		if l.planReleaseOf("m1") != nil {
			return
		}
	}
	t.Fatal("m1 was not released")
}

// TestOvertakenHeartbeatGetsResponse checks that a heartbeat that came through another node, after a newer
// reply to a direct call, gets a response but does not change the task state. Without a response, the
// agent would switch to another node. A duplicate of the heartbeat gets no response.
func TestOvertakenHeartbeatGetsResponse(t *testing.T) {
	l, call, task := leaderWithDirectCallInFlight(t)
	l.lastSequence += 2
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence, FencingToken: 5, Tasks: []wire.TaskStatus{task}})
	overtaken := &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence - 1, FencingToken: 5}
	if response, outcome := l.HandleHeartbeat(l.now, overtaken, true /* holdsLeaderLease */); outcome != leader.HeartbeatApplied || len(response.Commands) != 0 {
		t.Fatalf("got outcome %v and response %+v, want HeartbeatApplied and no commands", outcome, response)
	}
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Fatal("the overtaken heartbeat changed the task state, want one running task")
	}
	if _, outcome := l.HandleHeartbeat(l.now, overtaken, true /* holdsLeaderLease */); outcome != leader.HeartbeatRejected {
		t.Fatal("duplicate of the overtaken heartbeat: want HeartbeatRejected")
	}
}
