package leader_test

import (
	"encoding/json"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/wire"
)

// TestCancellationIsDurableAndStopsTask checks that the user gets the response to a cancellation only
// once the cancellation is durable, that the next response to a heartbeat stops the task, and that a
// successor stops the task too.
func TestCancellationIsDurableAndStopsTask(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	var got leader.JobResponse
	l.Cancel(l.now, "job-1", func(v leader.JobResponse) { got = v })
	if got.Status != 0 {
		t.Fatal("response before the cancellation is durable, want none")
	}
	l.commit()
	if got.State != wire.JobCancelled {
		t.Fatalf("after the commit: got %+v, want state cancelled", got)
	}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	successor := newLeader(t, 6, l.now, l.store)
	if cs := successor.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatal("want a stop of job-1/0 from the successor, got", formatCommands(cs))
	}
	if v := successor.Query("job-1"); v.State != wire.JobCancelled {
		t.Fatalf("response of the successor: got %+v, want state cancelled", v)
	}
}

// TestTaskOfUnknownJobIsStopped checks that a task of an unknown job is stopped. Once it has exited,
// its agent is told to forget it.
func TestTaskOfUnknownJobIsStopped(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	task := wire.TaskStatus{Task: "job-9/3", Attempt: 7, State: wire.TaskRunning}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-9/3" {
		t.Fatal(formatCommands(cs))
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitStopped
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-9/3" {
		t.Fatal(formatCommands(cs))
	}
}

// TestGracePeriodFitsCancelDeadline checks that a lease that is renewed at the end of the grace period
// expires before the deadline for stopping the tasks of cancelled jobs.
func TestGracePeriodFitsCancelDeadline(t *testing.T) {
	for _, workers := range []config.Workers{{LeaseS: 17, CancelDeadlineS: 47}, {LeaseS: 22, CancelDeadlineS: 47}, {LeaseS: 30, CancelDeadlineS: 31}} {
		gracePeriod := leader.GracePeriod(workers)
		if gracePeriod < 0 || gracePeriod > 0 && gracePeriod.Seconds()+workers.LeaseS >= workers.CancelDeadlineS {
			t.Errorf("%+v: grace period %v, want one that ends a lease before the cancellation deadline, or 0", workers, gracePeriod)
		}
	}
}

// TestMachineWithLateStartOfEndedJobIsReleased checks that a machine that may still receive a start of
// a cancelled job is released well before the cancellation deadline. The job's record is deleted only
// after that release.
func TestMachineWithLateStartOfEndedJobIsReleased(t *testing.T) {
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 30 {
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		l.commit()
		if l.store["j/job-1"] == nil {
			t.Fatal("record of job-1 deleted while a late start may still arrive")
		}
		for _, c := range l.PlanScaling(l.now) {
			if c.Op == scaling.CloudRelease {
				if len(c.Release) != 1 || c.Release[0] != "m1" {
					t.Fatal(c.Release)
				}
				l.FinishRelease(l.now, c.Release)
				l.commit()
				if l.store["j/job-1"] != nil {
					t.Fatal("the record of job-1 is still stored after the release of m1, want it deleted")
				}
				return
			}
		}
	}
	t.Fatal("m1 was not released within 30 s")
}

// TestLateStartOfEndedJobExpiresSession checks that the leader lets the lease of a machine expire before
// the cancellation deadline if the machine may still receive a start of a cancelled job and can't be
// released, because the key-value store can't be reached. For this, the leader stops responding to the
// machine's heartbeats. It responds again once the agent has begun a new session, in which the start has
// no effect.
func TestLateStartOfEndedJobExpiresSession(t *testing.T) {
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	cancelledAt, lastResponse := l.now, l.now
	sendHeartbeat := func(agentEpoch uint64) leader.HeartbeatOutcome {
		l.lastSequence++
		_, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: agentEpoch, Sequence: l.lastSequence, FencingToken: l.Term()}, false /* holdsLeaderLease */)
		return outcome
	}
	for l.now.Sub(cancelledAt) < 60*time.Second {
		if sendHeartbeat(1) == leader.HeartbeatApplied {
			lastResponse = l.now
		}
		l.now = l.now.Add(time.Second)
		l.Tick(l.now, false /* holdsLeaderLease */)
	}
	leaseEndS := lastResponse.Sub(cancelledAt).Seconds() + testParams.Workers.LeaseS
	if leaseEndS >= testParams.Workers.CancelDeadlineS || lastResponse.Sub(cancelledAt) < 5*time.Second {
		t.Fatalf("last response %v after the cancellation, want at least 5s; the lease of m1 expires %v s after the cancellation, want less than the cancellation deadline", lastResponse.Sub(cancelledAt), leaseEndS)
	}
	if sendHeartbeat(2) != leader.HeartbeatApplied {
		t.Fatal("no response to a heartbeat of a new session, want one")
	}
}

// TestEveryResponseCarriesStops checks that every response to a heartbeat stops the tasks of cancelled
// and unknown jobs. A response without the stops would renew the lease under which these tasks
// run. The test covers the response to an agent that has not seen the leader's term, and the response
// to a heartbeat that is older than a reply to a direct call.
func TestEveryResponseCarriesStops(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	successor := newLeader(t, 6, l.now.Add(time.Second), l.store)
	tasks := []wire.TaskStatus{task, {Task: "job-9/0", Attempt: 1, State: wire.TaskFetching}, {Task: "job-9/1", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitError}}
	response, outcome := successor.HandleHeartbeat(successor.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5, Tasks: tasks}, false /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied || formatCommands(response.Commands) != "kill job-1/0, kill job-9/0" || response.Commands[0].Attempt != task.Attempt {
		t.Fatalf("first heartbeat in a term: got %s, want the stops of job-1/0 and job-9/0", formatCommands(response.Commands))
	}
	l, call, _ := leaderWithDirectCallInFlight(t)
	l.lastSequence++
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.lastSequence + 1, FencingToken: 5, Tasks: []wire.TaskStatus{task}})
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatalf("heartbeat older than the reply to a direct call: got %q, want a stop of job-1/0", formatCommands(cs))
	}
}
