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

// TestCancellationIsDurableAndStopsTask checks that a cancellation gets its response only once it is
// durable, that the next response to a heartbeat stops the task, and that a successor stops it too.
func TestCancellationIsDurableAndStopsTask(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	var got leader.JobResponse
	l.Cancel(l.now, "job-1", func(v leader.JobResponse) { got = v })
	if got.Status != 0 {
		t.Fatal("response before the cancellation is durable")
	}
	l.commit()
	if got.State != wire.JobCancelled {
		t.Fatalf("%+v", got)
	}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatal(formatCommands(cs))
	}
	next := newLeader(t, 6, l.now, l.store)
	if cs := next.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatal("successor:", formatCommands(cs))
	}
	if v := next.Query("job-1"); v.State != wire.JobCancelled {
		t.Fatalf("%+v", v)
	}
}

// TestTaskOfUnknownJobIsStopped checks that a task of an unknown job is stopped, and forgotten once
// it has exited.
func TestTaskOfUnknownJobIsStopped(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	task := wire.TaskStatus{Task: "job-9/3", Attempt: 7, State: wire.TaskRunning}
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-9/3" {
		t.Fatal(formatCommands(cs))
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitStopped
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-9/3" {
		t.Fatal(formatCommands(cs))
	}
}

// TestGracePeriodFitsCancelDeadline checks that the grace period and a lease after it, with a
// reserve, end before the deadline for cancellations.
func TestGracePeriodFitsCancelDeadline(t *testing.T) {
	for _, w := range []config.Workers{{LeaseS: 17, CancelDeadlineS: 47}, {LeaseS: 22, CancelDeadlineS: 47}, {LeaseS: 30, CancelDeadlineS: 31}} {
		g := leader.GracePeriod(w)
		if g < 0 || g > 0 && g.Seconds()+w.LeaseS >= w.CancelDeadlineS {
			t.Errorf("%+v: grace %v", w, g)
		}
	}
}

// TestLateStartOfEndedJobIsFenced checks that a machine that may still receive a start of a
// cancelled job is released well before the deadline for cancellations.
func TestLateStartOfEndedJobIsFenced(t *testing.T) {
	l, call, _ := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 30 {
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		l.commit()
		if l.store["j/job-1"] == nil {
			t.Fatal("job removed while a late start may still arrive")
		}
		for _, c := range l.PlanScaling(l.now) {
			if c.Op == scaling.CloudRelease {
				if len(c.Release) != 1 || c.Release[0] != "m1" {
					t.Fatal(c.Release)
				}
				l.FinishRelease(l.now, c.Release)
				l.commit()
				if l.store["j/job-1"] != nil {
					t.Fatal("machine released, but the job is still stored")
				}
				return
			}
		}
	}
	t.Fatal("machine not released")
}

// TestLateStartOfEndedJobExpiresSession checks a machine that may still receive a start of a
// cancelled job and can't be released, because the key-value store can't be reached. Its heartbeats
// get no more responses once its lease would outlast the deadline for cancellations, until its agent
// begins a new session, in which the start is void.
func TestLateStartOfEndedJobExpiresSession(t *testing.T) {
	l, call, _ := leaderWithCallInFlight(t)
	l.FinishDirectCall(l.now, call, leader.DirectCallUncertain, nil)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	cancelledAt, lastResponse := l.now, l.now
	sendHeartbeat := func(session uint64) leader.HeartbeatOutcome {
		l.seq++
		_, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: session, Sequence: l.seq, FencingToken: l.Term()}, false)
		return outcome
	}
	for l.now.Sub(cancelledAt) < 60*time.Second {
		if sendHeartbeat(1) == leader.HeartbeatApplied {
			lastResponse = l.now
		}
		l.now = l.now.Add(time.Second)
		l.Tick(l.now, false)
	}
	leaseEndS := lastResponse.Sub(cancelledAt).Seconds() + params.Workers.LeaseS
	if leaseEndS >= params.Workers.CancelDeadlineS || lastResponse.Sub(cancelledAt) < 5*time.Second {
		t.Fatalf("last response after %v: the lease may last until %v s", lastResponse.Sub(cancelledAt), leaseEndS)
	}
	if sendHeartbeat(2) != leader.HeartbeatApplied {
		t.Fatal("no response to a new session")
	}
}

// TestEveryResponseCarriesStops checks that every response carries the stops of tasks that are no
// longer needed, because every response renews the lease. This includes the responses to an agent
// that has not seen this term and to a heartbeat that a reply to a direct call has overtaken.
func TestEveryResponseCarriesStops(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	next := newLeader(t, 6, l.now.Add(time.Second), l.store)
	list := []wire.TaskStatus{task, {Task: "job-9/0", Attempt: 1, State: wire.TaskFetching}, {Task: "job-9/1", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitError}}
	response, outcome := next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5, Tasks: list}, false)
	if outcome != leader.HeartbeatApplied || formatCommands(response.Commands) != "kill job-1/0, kill job-9/0" || response.Commands[0].Attempt != task.Attempt {
		t.Fatalf("first heartbeat in a term: %s", formatCommands(response.Commands))
	}
	l, call, _ := leaderWithCallInFlight(t)
	l.seq++
	l.FinishDirectCall(l.now, call, leader.DirectCallReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq + 1, FencingToken: 5, Tasks: []wire.TaskStatus{task}})
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "kill job-1/0" {
		t.Fatalf("overtaken by the reply to a direct call: %q", formatCommands(cs))
	}
}
