package leader_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/simulation"
	"switchshore.example/switchshore/wire"
)

// restartMachine returns the agent of a machine that has restarted: it has no tasks and has seen no token.
func restartMachine(l *testLeader, former *simulation.Agent) *simulation.Agent {
	agent := simulation.NewAgent(l.now, former.Machine, former.Type, former.Lease)
	agent.LookUpJob, agent.RunTime, agent.CachedImages = former.LookUpJob, former.RunTime, former.CachedImages
	return agent
}

// tryHeartbeat sends an agent's next heartbeat to a leader, and makes the agent handle the response if it
// gets one.
func tryHeartbeat(l *testLeader, agent *simulation.Agent) {
	response, outcome := l.HandleHeartbeat(l.now, agent.NextHeartbeat(), true /* holdsLeaderLease */)
	if outcome == leader.HeartbeatApplied {
		agent.HandleHeartbeatResponse(l.now, l.now, agent.Epoch, response)
	}
}

// executeDirectCalls makes the leader's direct calls to an agent, which replies to them.
func executeDirectCalls(l *testLeader, agent *simulation.Agent) {
	for _, call := range l.NextDirectCalls(l.now) {
		if call.Machine != agent.ID {
			l.FinishDirectCall(l.now, call, leader.DirectCallNotDelivered, nil)
			continue
		}
		agent.HandleCommandRequest(l.now, call.Request)
		l.FinishDirectCall(l.now, call, leader.DirectCallReplied, agent.NextHeartbeat())
	}
}

// TestTaskOfARestartedMachineStartsElsewhereAfterItsRelease guards against ran_twice: a machine restarts, its
// new agent is taken for the earlier one, the task is started elsewhere because the new agent doesn't list
// it, and a copy of the direct call that started it is executed by the new agent.
func TestTaskOfARestartedMachineStartsElsewhereAfterItsRelease(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeatsBefore int  // by the earlier agent
		copyBefore       bool // a copy of a direct call without the task reaches the new agent first
		restarts         int
		probed           bool // direct calls reach the new agent
		unheard          bool // no heartbeat of the new agent arrives
	}{
		"it is not heard":                    {restarts: 1, unheard: true},
		"its numbers catch up":               {restarts: 1},
		"its numbers and its token catch up": {restarts: 1, copyBefore: true},
		"its numbers are behind":             {restarts: 1, heartbeatsBefore: 100, probed: true},
		"it is behind and not called":        {restarts: 1, heartbeatsBefore: 100},
		"restarted twice":                    {restarts: 2, copyBefore: true},
		"restarted twice, called":            {restarts: 2, heartbeatsBefore: 5, probed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, call, agent := agentWithDirectStart(t, leader.DirectCallReplied)
			agent.RunTime = func(*wire.Job) time.Duration { return time.Hour }
			l.ApplyMachineList(l.now, l.now, nil)
			for range c.heartbeatsBefore {
				exchangeHeartbeat(l, agent)
			}
			agent = restartMachine(l, agent)
			agent.Lease = 15 * time.Second
			steps := 0
			l.checkPlacedOnlyAfterRelease(time.Second, func() {
				if c.copyBefore && agent.FencingToken == 0 {
					agent.HandleCommandRequest(l.now, wire.CommandRequest{FencingToken: call.Request.FencingToken, AgentEpoch: 1})
				}
				agent.Advance(l.now)
				if !c.unheard {
					tryHeartbeat(l, agent)
				}
				if c.probed {
					executeDirectCalls(l, agent)
				}
				if steps++; steps == 3 && c.restarts == 2 {
					agent = restartMachine(l, agent)
				}
			})
		})
	}
}

// TestProbeOfTheKnownAgentKeepsItsMachine: late copies of heartbeats make the leader probe the agent. The reply
// shows that it is the known one, which from then on refuses copies of earlier direct calls.
func TestProbeOfTheKnownAgentKeepsItsMachine(t *testing.T) {
	l, call, agent := agentWithDirectStart(t, leader.DirectCallReplied)
	agent.RunTime = func(*wire.Job) time.Duration { return time.Hour }
	l.ApplyMachineList(l.now, l.now, nil)
	copied := agent.NextHeartbeat()
	exchangeHeartbeat(l, agent)
	tokenBefore := agent.FencingToken
	for range 3 {
		l.tickAfter(time.Second)
		if _, outcome := l.HandleHeartbeat(l.now, copied, true /* holdsLeaderLease */); outcome != leader.HeartbeatRejected {
			t.Fatalf("copy of a heartbeat: got outcome %d, want HeartbeatRejected", outcome)
		}
		executeDirectCalls(l, agent)
	}
	if agent.FencingToken <= tokenBefore || agent.FencingToken <= call.Request.FencingToken {
		t.Errorf("token %d after the probe, want a higher one than %d", agent.FencingToken, tokenBefore)
	}
	if release := l.planReleaseOf("m1"); release != nil {
		t.Errorf("%v released, want no release", release)
	}
	exchangeHeartbeat(l, agent)
}

// TestNoControllerCanRefuseACopyForAnUnansweredAgent shows the window that is left: a task has exited on m1 and
// was started on m2. Then m1 restarts, and its new agent, which has seen no token, gets a copy of the direct
// call before any answer. The leader's first probe closes the window.
func TestNoControllerCanRefuseACopyForAnUnansweredAgent(t *testing.T) {
	l, call, agent := agentWithDirectStart(t, leader.DirectCallReplied)
	agent.Faulty = true
	for range 4 {
		l.tickAfter(time.Second)
		agent.Advance(l.now)
		exchangeHeartbeat(l, agent)
	}
	l.sendHeartbeat("m2", 1)
	l.tickAfter(3 * time.Second)
	l.commit()
	if cs := l.sendHeartbeat("m2", 1); formatCommands(cs) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0 on m2", formatCommands(cs))
	}
	agent.HandleCommandRequest(l.now, call.Request)
	if listsAttempt(agent, call) {
		t.Fatal("the earlier agent executed the copy, want it refused")
	}
	unanswered := restartMachine(l, agent)
	unanswered.HandleCommandRequest(l.now, call.Request)
	if !listsAttempt(unanswered, call) {
		t.Error("the new agent refused the copy: the window is closed, and the exception in the simulation can go")
	}
	probed := restartMachine(l, agent)
	for range 2 {
		tryHeartbeat(l, probed)
		executeDirectCalls(l, probed)
	}
	probed.HandleCommandRequest(l.now, call.Request)
	if listsAttempt(probed, call) {
		t.Error("the new agent executed the copy after the leader's probe, want it refused")
	}
}
