package leader_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// useTightLimits sets the smallest limits of the key-value store that its operators have announced.
func useTightLimits(t *testing.T) {
	t.Helper()
	old := params
	t.Cleanup(func() { params = old })
	params.KVStore.ValueKB, params.KVStore.TxnOps, params.KVStore.WriteRPS = 2, 8, 42
}

func dependentJob(id string, dependencies ...string) *wire.Job {
	j := newJob(id)
	j.DependsOn = dependencies
	return j
}

// submitAsync submits a job without committing it. The response is filled in when it is given.
func (l *testLeader) submitAsync(j *wire.Job) *leader.JobResponse {
	v := &leader.JobResponse{}
	l.Submit(l.now, l.now, j, func(got leader.JobResponse) { *v = got })
	return v
}

func (l *testLeader) submitAll(jobs ...*wire.Job) {
	l.t.Helper()
	for _, j := range jobs {
		v := l.submitAsync(j)
		l.commit()
		if v.Status != 201 {
			l.t.Fatalf("%s: %+v", j.ID, *v)
		}
	}
}

// commitBatch commits a batch of at most maxOps changes, of which at most spare are changes that no
// user waits for, and returns their number.
func (l *testLeader) commitBatch(maxOps, spare int) int {
	b := l.NextWriteBatch(maxOps, spare)
	if b == nil {
		return 0
	}
	l.apply(b.Mutations)
	l.MarkBatchCommitted(b, nil)
	return len(b.Mutations)
}

// queryState returns the job state in the response to a query, or its status if that is not 200.
func (l *testLeader) queryState(id string) string {
	response := l.Query(id)
	if response.Status == 200 {
		return response.State
	}
	return fmt.Sprint(response.Status)
}

func completedTask(task string, attempt uint64) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}
}

// TestNoStartBeforeDependenciesAreDurable checks that a job starts only once the end of its
// dependency is durable: until then a successor could run the dependency again or cancel it. A
// blocked job adds no demand and takes nothing of its team's guarantee.
func TestNoStartBeforeDependenciesAreDurable(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.submitAll(dependentJob("job-2", "job-1"), newJob("job-3"))
	if n := l.Summary(); n.ReadyTasks != 1 {
		t.Fatalf("%d tasks are ready, want that of job-3", n.ReadyTasks)
	}
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m1", 1, task)); got != "run job-3/0" {
		t.Fatalf("started %q", got)
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	l.tickAfter(time.Second)
	l.sendHeartbeat("m3", 1)
	if n := l.Summary(); n.AllocatedTasks != 1 {
		t.Fatalf("%d tasks placed before the end of job-1 is durable, want that of job-3", n.AllocatedTasks)
	}
	if next := newLeader(t, 6, l.now, l.store); next.queryState("job-2") != wire.JobQueued || next.Summary().ReadyTasks != 0 {
		t.Fatal("a successor starts job-2 although it does not know job-1 as done")
	}
	l.commit()
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m3", 1)) + formatCommands(l.sendHeartbeat("m1", 1)); !strings.Contains(got, "run job-2/0") {
		t.Fatalf("job-2 not started: %q", got)
	}
	// A successor restores the same state.
	next := newLeader(t, 6, l.now, l.store)
	next.tickAfter(time.Second)
	if n := next.Summary(); n.AllocatedTasks != 2 {
		t.Fatalf("%d tasks allocated by the successor", n.AllocatedTasks)
	}
}

// TestSubmissionsWithDependencies checks which jobs with dependencies are accepted, rejected for
// good (422) or rejected for now (503).
func TestSubmissionsWithDependencies(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), newJob("job-2"))
	l.Cancel(l.now, "job-2", func(leader.JobResponse) {})
	l.commit()
	for _, c := range []struct {
		job    *wire.Job
		status int
		reason string
	}{
		{dependentJob("job-3", "job-1", "job-404"), 422, "job-404"},
		{dependentJob("job-3", "job-3"), 422, "job-3"},
		{dependentJob("job-3", "else"), 422, "else"},
		{dependentJob("job-3", strings.Repeat("<", 60_000)), 422, "<<"},
	} {
		if v := l.submitAsync(c.job); v.Status != c.status || !strings.Contains(v.Reason, c.reason) || len(v.Reason) > 300 {
			t.Errorf("%.60v: %d %.300s", c.job.DependsOn, v.Status, v.Reason)
		}
	}
	// A repeated submission gets the job state, even with other dependencies.
	if v := l.submitAsync(dependentJob("job-1", "job-404")); v.Status != 200 {
		t.Errorf("repeated submission: %+v", *v)
	}
	// A job is rejected for now if the acceptance of a dependency is not durable yet.
	l.submitAsync(newJob("job-4"))
	if v := l.submitAsync(dependentJob("job-5", "job-4")); v.Status != 503 {
		t.Errorf("depends on a job that is being accepted: %+v", *v)
	}
	l.commit()
	// A job that depends on a cancelled one is accepted and cancelled with one response:
	// "queued" would be wrong long after the first cancellation.
	v := l.submitAsync(dependentJob("job-6", "job-1", "job-2"))
	if v.Status != 0 {
		t.Fatalf("response before the acceptance is durable: %+v", *v)
	}
	l.commit()
	if v.Status != 201 || v.State != wire.JobCancelled {
		t.Errorf("depends on a cancelled job: %+v", *v)
	}
	next := newLeader(t, 6, l.now, l.store)
	if got := next.queryState("job-6"); got != wire.JobCancelled {
		t.Errorf("after a succession: %s", got)
	}
}

// TestCancellationReachesDependents cancels a job with 2,000 dependents in two layers and a chain of
// 1,000. The cancellations take bounded steps and do not delay other submissions. A successor
// completes those that its predecessor has left, and does not report a job as queued that will be
// cancelled.
func TestCancellationReachesDependents(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.submitAll(newJob("job-0"), newJob("job-1"))
	var all []string
	add := func(dependencies ...string) string {
		id := fmt.Sprintf("job-%d", 1000+len(all))
		all = append(all, id)
		l.submitAll(dependentJob(id, dependencies...))
		return id
	}
	for range 1000 {
		add(add("job-0"), "job-1")
	}
	last := "job-0"
	for range 1000 {
		last = add(last)
	}
	cancelResponse := leader.JobResponse{}
	l.Cancel(l.now, "job-0", func(v leader.JobResponse) { cancelResponse = v })
	for cancelResponse.Status == 0 {
		l.commitBatch(7, 0)
	}
	l.tickAfter(time.Second)
	if l.commitBatch(7, 0) == 0 {
		t.Fatal("the cancellations of dependents wait for spare writes")
	}
	rounds, maxWait := 0, 0
	for ended := 0; ended < len(all); rounds++ {
		if rounds == 40 {
			// Most dependents are not cancelled yet.
			l = newLeader(t, 6, l.now, l.store)
		}
		if rounds > 700 {
			t.Fatalf("%d of %d dependents cancelled", ended, len(all))
		}
		l.tickAfter(200 * time.Millisecond)
		v := l.submitAsync(newJob(fmt.Sprintf("job-%d", 10_000+rounds)))
		wait := 0
		for ; v.Status == 0; wait++ {
			l.commitBatch(7, 7)
		}
		maxWait = max(maxWait, wait)
		l.commitBatch(7, 7)
		l.commitBatch(7, 7)
		ended = 0
		for _, id := range all {
			if _, ok := l.store["f/"+id]; ok {
				ended++
			}
			if got := l.queryState(id); rounds >= 40 && got != wire.JobCancelled && got != "503" {
				t.Fatalf("%s is reported as %s", id, got)
			}
		}
	}
	if maxWait > 1 {
		t.Errorf("a submission waited for %d transactions", maxWait)
	}
	if got := l.queryState("job-1"); got != wire.JobQueued {
		t.Errorf("the other dependency is reported as %s", got)
	}
	for range 3000 {
		l.commitBatch(7, 7)
	}
	next := newLeader(t, 7, l.now, l.store)
	for _, id := range all {
		if got := next.queryState(id); got != wire.JobCancelled {
			t.Fatalf("after a succession, %s is reported as %s", id, got)
		}
	}
}

// TestCancelAfterCompletionSparesDependents checks that a cancellation whose response is that the
// job is done does not cancel dependents.
func TestCancelAfterCompletionSparesDependents(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.submitAll(dependentJob("job-2", "job-1"))
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	var v leader.JobResponse
	l.Cancel(l.now, "job-1", func(got leader.JobResponse) { v = got })
	l.commit()
	if v.State != wire.JobDone {
		t.Fatalf("%+v", v)
	}
	l.tickAfter(time.Second)
	if got := l.queryState("job-2"); got != wire.JobQueued || l.Summary().AllocatedTasks != 1 {
		t.Fatalf("job-2 is reported as %s, %d tasks allocated", got, l.Summary().AllocatedTasks)
	}
}

// TestWaitingTimeBeginsWhenDependenciesAreDone checks that the time for which a job was blocked does
// not count as waiting time.
func TestWaitingTimeBeginsWhenDependenciesAreDone(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	dependent, other := dependentJob("job-2", "job-1"), newJob("job-3")
	dependent.CPUs, other.CPUs = 8, 8
	l.submitAll(dependent)
	for second := range 60 {
		if second == 30 {
			l.submitAll(other)
		}
		l.tickAfter(time.Second)
		l.commit()
		if got := formatCommands(l.sendHeartbeat("m1", 1, task)); got != "" {
			t.Fatalf("placed on a full machine: %s", got)
		}
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	l.commit()
	l.tickAfter(time.Second)
	l.commit()
	got := formatCommands(l.sendHeartbeat("m1", 1))
	if !strings.HasPrefix(got, "run job-3/0") {
		t.Fatalf("the time blocked counts as waiting time: %s", got)
	}
}

// TestCriticalPathRaisesPriority checks that the first job of a chain with an urgent last job goes
// before a job of higher priority, but not once the last job is cancelled. A successor decides the
// same.
func TestCriticalPathRaisesPriority(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		for _, succession := range []bool{false, true} {
			l := newLeader(t, 5, start, map[string]json.RawMessage{})
			first, other := newJob("job-1"), newJob("job-2")
			first.Priority, first.CPUs = wire.PriorityIdle, 8
			other.Priority, other.CPUs = wire.PriorityNormal, 8
			l.submitAll(first, other, dependentJob("job-3", "job-1"))
			last := dependentJob("job-4", "job-3")
			deadline := 70.0
			last.DeadlineS = &deadline
			l.submitAll(last)
			l.Tick(l.now, false)
			if cancelled {
				l.Cancel(l.now, "job-4", func(leader.JobResponse) {})
				l.Cancel(l.now, "job-3", func(leader.JobResponse) {})
				l.commit()
			}
			if succession {
				l = newLeader(t, 6, l.now, l.store)
			}
			l.sendHeartbeat("m1", 1)
			l.tickAfter(time.Second)
			l.commit()
			want := "run job-1/0"
			if cancelled {
				want = "run job-2/0"
			}
			if got := formatCommands(l.sendHeartbeat("m1", 1)); got != want {
				t.Errorf("cancelled %v, succession %v: %q, want %q", cancelled, succession, got, want)
			}
		}
	}
}

// TestTightestCriticalPathGoesFirst checks that of two chains of equal priority the one with the
// earlier deadline goes first, although the first job of neither has a deadline.
func TestTightestCriticalPathGoesFirst(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 16}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for i, deadline := range []float64{400, 200} {
		first, last := newJob(fmt.Sprint("job-1", i)), dependentJob(fmt.Sprint("job-3", i), fmt.Sprint("job-2", i))
		first.CPUs = 8
		last.DeadlineS = &deadline
		l.submitAll(first, dependentJob(fmt.Sprint("job-2", i), first.ID), last)
	}
	l.sendHeartbeat("m1", 1)
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m1", 1)); got != "run job-11/0" {
		t.Fatal(got)
	}
}

// TestEndedJobsHoldNoGuarantee checks that cancelled and blocked jobs leave their team's guarantee
// to its next job.
func TestEndedJobsHoldNoGuarantee(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 32}, {Name: "green", CPUs: 8, CPUsMax: 16}}
	for _, blocked := range []bool{false, true} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		first, second, other := newJob("job-1"), newJob("job-2"), newJob("job-3")
		first.Tasks, first.CPUs, second.CPUs, other.CPUs, other.Team = 2, 8, 8, 8, "green"
		if blocked {
			running := newJob("job-0")
			running.CPUs = 8
			l.submitAll(running)
			l.sendHeartbeat("m2", 1)
			l.tickAfter(time.Second)
			l.commit()
			if got := formatCommands(l.sendHeartbeat("m2", 1)); got != "run job-0/0" {
				t.Fatal(got)
			}
			first.DependsOn = []string{running.ID}
		}
		l.submitAll(first)
		l.now = l.now.Add(time.Second)
		l.submitAll(second)
		l.now = l.now.Add(time.Second)
		l.submitAll(other)
		if !blocked {
			l.Cancel(l.now, first.ID, func(leader.JobResponse) {})
			l.commit()
		}
		l.sendHeartbeat("m1", 1)
		l.tickAfter(time.Second)
		l.commit()
		if got := formatCommands(l.sendHeartbeat("m1", 1)); got != "run job-2/0" {
			t.Errorf("blocked %v: %q", blocked, got)
		}
	}
}
