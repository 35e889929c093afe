package leader_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// agentWithDirectStart returns a leader, its direct call that has started job-1/0 on m1, which has the given
// outcome for the leader, and the agent of m1, which has executed the call.
func agentWithDirectStart(t *testing.T, outcome leader.DirectCallOutcome) (*testLeader, *leader.DirectCall, *simulation.Agent) {
	t.Helper()
	l, call, _ := leaderWithDirectCallInFlight(t)
	machine := wire.ListedMachine{Name: "m1", Addr: "m1:9", Type: std8Type.Name, Zone: "a"}
	agent := simulation.NewAgent(l.now, machine, std8Type, time.Hour)
	agent.LookUpJob = func(id string) *wire.Job { return newJob(id) }
	agent.RunTime = func(*wire.Job) time.Duration { return 5 * time.Second }
	agent.Sequence, agent.FencingToken = l.lastSequence, l.Term()
	agent.HandleCommandRequest(l.now, call.Request)
	l.FinishDirectCall(l.now, call, outcome, agent.NextHeartbeat())
	return l, call, agent
}

// exchangeHeartbeat sends an agent's next heartbeat to a leader, commits the leader's writes, and makes
// the agent handle the response.
func exchangeHeartbeat(l *testLeader, agent *simulation.Agent) {
	l.t.Helper()
	response, outcome := l.HandleHeartbeat(l.now, agent.NextHeartbeat(), true /* holdsLeaderLease */)
	if outcome != leader.HeartbeatApplied {
		l.t.Fatalf("heartbeat: got outcome %d, want HeartbeatApplied", outcome)
	}
	agent.HandleHeartbeatResponse(l.now, l.now, agent.Epoch, response)
	l.commit()
}

// TestCopyOfAnsweredStartIsRefused guards against ran_twice, quota and ran_cancelled: a copy of a direct call
// arrives after the call was answered, its task has ended and the agent has forgotten the attempt.
func TestCopyOfAnsweredStartIsRefused(t *testing.T) {
	for name, end := range map[string]func(*testLeader, *simulation.Agent){
		"completed": func(*testLeader, *simulation.Agent) {},
		"failed":    func(_ *testLeader, agent *simulation.Agent) { agent.Faulty = true },
		"cancelled": func(l *testLeader, _ *simulation.Agent) { l.Cancel(l.now, "job-1", func(leader.JobResponse) {}) },
		"stopped": func(l *testLeader, agent *simulation.Agent) {
			for _, task := range agent.Tasks {
				stop := wire.Command{Op: wire.OpStop, Task: task.Name, Attempt: task.Attempt}
				agent.HandleCommandRequest(l.now, wire.CommandRequest{FencingToken: agent.FencingToken, AgentEpoch: agent.Epoch, Commands: []wire.Command{stop}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, call, agent := agentWithDirectStart(t, leader.DirectCallReplied)
			end(l, agent)
			forgotten := false
			for range 10 {
				l.tickAfter(3 * time.Second)
				agent.Advance(l.now)
				exchangeHeartbeat(l, agent)
				forgotten = forgotten || !listsAttempt(agent, call)
				agent.HandleCommandRequest(l.now, call.Request)
				if forgotten && listsAttempt(agent, call) {
					t.Fatal("a copy of the direct call has started the attempt again, want it refused")
				}
			}
			if !forgotten {
				t.Error("the agent was not told to forget the attempt within 30 s")
			}
		})
	}
}

// listsAttempt reports whether an agent lists the attempt that a direct call starts.
func listsAttempt(agent *simulation.Agent, call *leader.DirectCall) bool {
	for _, task := range agent.Tasks {
		if task.Attempt == call.Request.Commands[0].Attempt {
			return true
		}
	}
	return false
}

// TestCopyOfAnsweredStartIsRefusedAfterFailover guards against ran_twice: the copy arrives after the
// leader's process has ended and before the agent has got a response of the successor.
func TestCopyOfAnsweredStartIsRefusedAfterFailover(t *testing.T) {
	l, call, agent := agentWithDirectStart(t, leader.DirectCallReplied)
	agent.Faulty = true
	for range 4 {
		l.tickAfter(time.Second)
		agent.Advance(l.now)
		exchangeHeartbeat(l, agent)
	}
	agent.HandleCommandRequest(l.now, call.Request)
	if listsAttempt(agent, call) {
		t.Fatal("a copy of the direct call has started the attempt again, want it refused")
	}
	successor := newLeader(t, l.LastTokenToReserve()+1, l.now, l.store)
	if _, outcome := l.HandleHeartbeat(l.now, &wire.Heartbeat{Machine: "m2", FencingToken: successor.Term()}, true); outcome != leader.HeartbeatFromLaterTerm {
		t.Errorf("heartbeat with the successor's token: got outcome %d, want HeartbeatFromLaterTerm", outcome)
	}
	exchangeHeartbeat(successor, agent)
	if agent.FencingToken != successor.Term() {
		t.Errorf("the agent has token %d after a response of the successor, want %d", agent.FencingToken, successor.Term())
	}
}

// TestUnansweredStartIsForgottenAndRefused guards against reports that grow with each direct call that got no
// answer: its attempt is forgotten in the same session, and the call, which arrives only then, is refused.
func TestUnansweredStartIsForgottenAndRefused(t *testing.T) {
	l, call, agent := agentWithDirectStart(t, leader.DirectCallUncertain)
	agent.Faulty = true
	for range 4 {
		l.tickAfter(time.Second)
		agent.Advance(l.now)
		exchangeHeartbeat(l, agent)
	}
	if agent.Epoch != 1 || listsAttempt(agent, call) {
		t.Fatalf("epoch %d, attempt listed: %v, want the attempt forgotten in the first session", agent.Epoch, listsAttempt(agent, call))
	}
	agent.HandleCommandRequest(l.now, call.Request)
	if listsAttempt(agent, call) {
		t.Error("the late direct call has started the attempt again, want it refused")
	}
}

// TestUnrecordedAttemptIsStopped guards against a task that goes on running on two machines: an agent that a
// leader without fences has left unprotected reports a copy of a task that another machine may have.
func TestUnrecordedAttemptIsStopped(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	unrecorded := task
	unrecorded.Attempt = 7
	if cs := l.sendHeartbeat("m2", 1, unrecorded); formatCommands(cs) != "kill job-1/0" || cs[0].Attempt != unrecorded.Attempt {
		t.Errorf("got %q, want a stop of the unrecorded attempt of job-1/0", formatCommands(cs))
	}
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Errorf("the recorded attempt got %s, want no command", formatCommands(cs))
	}
	unrecorded.State, unrecorded.ExitReason = wire.TaskExited, wire.ExitStopped
	l.sendHeartbeat("m2", 1, unrecorded)
	l.tickAfter(time.Second)
	l.commit()
	if v := l.Query("job-1"); v.RunningTasks != 1 {
		t.Errorf("%d tasks running after the stop, want 1", v.RunningTasks)
	}
}

// TestForgetWaitsForFencingToken: an agent is told to forget an attempt only with a token that is reserved,
// and not while a direct call with the present token is in progress, which the agent would refuse.
func TestForgetWaitsForFencingToken(t *testing.T) {
	l, _, agent := agentWithDirectStart(t, leader.DirectCallReplied)
	reserved := l.LastTokenToReserve()
	l.MarkTokensReserved(l.Term())
	agent.Faulty = true
	task := agent.NextHeartbeat().Tasks[0]
	task.State, task.ExitReason = wire.TaskExited, wire.ExitError
	l.lastSequence = agent.Sequence
	if cs := l.sendHeartbeat("m1", 1, task); len(cs) != 0 {
		t.Fatalf("without a reserved token: got %s, want no command", formatCommands(cs))
	}
	l.MarkTokensReserved(reserved)
	if cs := l.sendHeartbeat("m1", 1, task); formatCommands(cs) != "reap job-1/0" {
		t.Fatalf("with reserved tokens: got %q, want the command to forget job-1/0", formatCommands(cs))
	}
}
