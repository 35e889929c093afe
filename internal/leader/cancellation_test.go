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

// TestCancelStopsEverywhere: durable before it is told, stopped in the next
// answer, and forgotten by no successor.
func TestCancelStopsEverywhere(t *testing.T) {
	l, tr := running(t)
	var got leader.Response
	l.Cancel(l.now, "job-1", func(v leader.Response) { got = v })
	if got.Status != 0 {
		t.Fatal("told before it is durable")
	}
	l.commit()
	if got.State != wire.JobCancelled {
		t.Fatalf("%+v", got)
	}
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatal(ops(cs))
	}
	next := newLeader(t, 6, l.now, l.store)
	if cs := next.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatal("successor:", ops(cs))
	}
	if v := next.Query("job-1"); v.State != wire.JobCancelled {
		t.Fatalf("%+v", v)
	}
}

// TestUnwantedTaskIsStopped: a task of a job that nobody knows is ended and
// then forgotten.
func TestUnwantedTaskIsStopped(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	tr := wire.TaskStatus{Task: "job-9/3", Attempt: 7, State: wire.TaskRunning}
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-9/3" {
		t.Fatal(ops(cs))
	}
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitStopped
	if cs := l.report("m1", 1, tr); ops(cs) != "reap job-9/3" {
		t.Fatal(ops(cs))
	}
}

// TestGraceFitsCancellation: an old leader's last answer, a worker's lease
// and a reserve fit into the time for cancellations.
func TestGraceFitsCancellation(t *testing.T) {
	for _, w := range []config.Workers{{LeaseS: 17, CancelDeadlineS: 47}, {LeaseS: 22, CancelDeadlineS: 47}, {LeaseS: 30, CancelDeadlineS: 31}} {
		g := leader.GracePeriod(w)
		if g < 0 || g > 0 && g.Seconds()+w.LeaseS >= w.CancelDeadlineS {
			t.Errorf("%+v: grace %v", w, g)
		}
	}
}

// TestLateStartOfEndedJobIsFenced: the machine is released well within the
// time for cancellations.
func TestLateStartOfEndedJobIsFenced(t *testing.T) {
	l, call, _ := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectUnknown, nil)
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	l.commit()
	l.ApplyMachineList(l.now, l.now, []wire.ListedMachine{{Name: "m1", Type: "std-8", Zone: "a", State: wire.MachineRunning}})
	for range 30 {
		l.report("m1", 1)
		l.pass(time.Second)
		l.commit()
		if l.store["j/job-1"] == nil {
			t.Fatal("taken for gone while the start may come late")
		}
		for _, c := range l.PlanScaling(l.now) {
			if c.Op == scaling.CloudRelease {
				if len(c.Release) != 1 || c.Release[0] != "m1" {
					t.Fatal(c.Release)
				}
				l.ReleaseDone(l.now, c.Release)
				l.commit()
				if l.store["j/job-1"] != nil {
					t.Fatal("released, and still held")
				}
				return
			}
		}
	}
	t.Fatal("not released")
}

// TestLateStartOfEndedJobEndsItsSession: a machine to which a start of a cancelled
// job may come late, and that nobody can release as the state service is away, is
// not answered any more once its lease would outlast the time for the cancellation,
// until its worker is in a new session, in which the start is void.
func TestLateStartOfEndedJobEndsItsSession(t *testing.T) {
	l, call, _ := leaderWithUnansweredCall(t)
	l.DirectCallDone(l.now, call, leader.DirectUnknown, nil)
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	l.commit()
	asked, last := l.now, l.now
	report := func(session uint64) leader.HeartbeatOutcome {
		l.seq++
		_, receipt := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m1", Addr: "m1:9", Type: "std-8", Zone: "a", AgentEpoch: session, Sequence: l.seq, FencingToken: l.Term()}, false)
		return receipt
	}
	for l.now.Sub(asked) < 60*time.Second {
		if report(1) == leader.HeartbeatApplied {
			last = l.now
		}
		l.now = l.now.Add(time.Second)
		l.Tick(l.now, false)
	}
	over := last.Sub(asked).Seconds() + params.Workers.LeaseS
	if over >= params.Workers.CancelDeadlineS || last.Sub(asked) < 5*time.Second {
		t.Fatalf("answered until %v: the session may last until %v s", last.Sub(asked), over)
	}
	if report(2) != leader.HeartbeatApplied {
		t.Fatal("a new session is answered")
	}
}

// TestEveryAnswerStops: every answer renews the lease, so every answer carries the
// stops of what nobody wants: also one to a worker that has not seen this term, and
// one to a report that the answer to a direct call has overtaken.
func TestEveryAnswerStops(t *testing.T) {
	l, tr := running(t)
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	l.commit()
	next := newLeader(t, 6, l.now.Add(time.Second), l.store)
	list := []wire.TaskStatus{tr, {Task: "job-9/0", Attempt: 1, State: wire.TaskFetching}, {Task: "job-9/1", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitError}}
	a, receipt := next.HandleHeartbeat(next.now, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: 50, FencingToken: 5, Tasks: list}, false)
	if receipt != leader.HeartbeatApplied || ops(a.Commands) != "kill job-1/0, kill job-9/0" || a.Commands[0].Attempt != tr.Attempt {
		t.Fatalf("first heard in a term: %s", ops(a.Commands))
	}
	l, call, _ := leaderWithUnansweredCall(t)
	l.seq++
	l.DirectCallDone(l.now, call, leader.DirectReplied, &wire.Heartbeat{Machine: "m1", Type: "std-8", Zone: "a", AgentEpoch: 1, Sequence: l.seq + 1, FencingToken: 5, Tasks: []wire.TaskStatus{tr}})
	l.Cancel(l.now, "job-1", func(leader.Response) {})
	if cs := l.report("m1", 1, tr); ops(cs) != "kill job-1/0" {
		t.Fatalf("overtaken by the answer to a direct call: %q", ops(cs))
	}
}
