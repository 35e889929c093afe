package leader_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// leaderAfterCompletion returns a leader whose machine m1 has just reported that job-1/0 is done. The job's
// other task waits, as m1 has no room for both.
func leaderAfterCompletion(t *testing.T) (*testLeader, wire.TaskStatus) {
	t.Helper()
	spec := newJob("job-1")
	spec.Tasks, spec.CPUs = 2, 8
	l, starts := leaderWithStarts(t, spec)
	if formatCommands(starts) != "run job-1/0" {
		t.Fatalf("got %q, want a start of job-1/0", formatCommands(starts))
	}
	done := wire.TaskStatus{Task: starts[0].Task, Attempt: starts[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}
	l.sendHeartbeat("m1", 1, done)
	l.commit()
	return l, done
}

// TestCompletedTaskIsNotStartedAgainAfterFailover guards against a completed task that a successor starts again:
// the leader ends after the completion was reported, and before it is durable.
func TestCompletedTaskIsNotStartedAgainAfterFailover(t *testing.T) {
	l, done := leaderAfterCompletion(t)
	next := newLeader(t, 6, l.now, l.store)
	next.lastSequence = l.lastSequence
	for _, m := range []string{"m2", "m3"} {
		next.sendHeartbeat(m, 1)
	}
	next.tickAfter(time.Second)
	next.commit()
	for _, m := range []string{"m2", "m3"} {
		if cs := next.sendHeartbeat(m, 1); strings.Contains(formatCommands(cs), "job-1/0") {
			t.Errorf("%s got %q, want no start of job-1/0, which may be on m1", m, formatCommands(cs))
		}
	}
	next.sendHeartbeat("m1", 1, done)
	if v := next.Query("job-1"); v.CompletedTasks != 1 {
		t.Errorf("after the report of m1: got %+v, want one task done", v)
	}
}

// TestStartRecordIsDeletedAfterItsCompletions: a start record is deleted once the completions of its tasks are
// durable, and not before.
func TestStartRecordIsDeletedAfterItsCompletions(t *testing.T) {
	l, _ := leaderAfterCompletion(t)
	countStarts := func() (count int) {
		for key := range l.store {
			if strings.HasPrefix(key, "s/") {
				count++
			}
		}
		return count
	}
	if got := countStarts(); got != 1 {
		t.Errorf("%d start records before the completion is durable, want 1", got)
	}
	l.Cancel(l.now, "job-1", func(leader.JobResponse) {})
	l.commit()
	if got := countStarts(); got != 0 {
		t.Errorf("%d start records after the end of the job is durable, want 0", got)
	}
}

// TestSecondAttemptOfACompletedTaskCountsAfterFailover guards against a team that exceeds its limit: a task has
// completed on one machine, and the record of a second attempt names another machine, which may still
// run it.
func TestSecondAttemptOfACompletedTaskCountsAfterFailover(t *testing.T) {
	l, _ := leaderAfterCompletion(t)
	l.Tick(l.now.Add(2*time.Second), false /* holdsLeaderLease */) // stores the completion and places nothing
	l.commit()
	l.store["s/00000005-00000009"] = json.RawMessage(`{"machines":[{"id":"m3","type":"std-8","zone":"a","spot":true,"tasks":{"job-1":"0"}}]}`)
	next := newLeader(t, 6, l.now, l.store)
	wide := newJob("job-2")
	wide.CPUs, wide.Tasks, wide.Priority = 5, 2, wire.PriorityCritical // both fit into the limit of 16 only without job-1/0
	next.Submit(next.now, next.now, wide, func(leader.JobResponse) {})
	next.commit()
	next.lastSequence = l.lastSequence
	started := map[string]bool{}
	for range 3 {
		for _, m := range []string{"m4", "m5"} {
			for _, start := range next.sendHeartbeat(m, 1) {
				started[start.Task] = true
			}
		}
		next.tickAfter(time.Second)
		next.commit()
	}
	if len(started) != 1 || !started["job-2/0"] {
		t.Errorf("got starts of %v, want only job-2/0 until m3 has reported", started)
	}
}
