package leader_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// useSmallStoreLimits sets, until the end of the test, the smallest limits that the operators of the
// key-value store have announced.
func useSmallStoreLimits(t *testing.T) {
	t.Helper()
	oldParams := testParams
	t.Cleanup(func() { testParams = oldParams })
	testParams.KVStore.ValueKB, testParams.KVStore.TxnOps, testParams.KVStore.WriteRPS = 2, 8, 42
}

// dependentJob returns a job that depends on the given jobs.
func dependentJob(id string, dependencies ...string) *wire.Job {
	j := newJob(id)
	j.DependsOn = dependencies
	return j
}

// submitWithoutCommit submits a job without committing it. It returns a response that is filled in
// once the leader responds; until then its status is 0.
func (l *testLeader) submitWithoutCommit(j *wire.Job) *leader.JobResponse {
	v := &leader.JobResponse{}
	l.Submit(l.now, l.now, j, func(got leader.JobResponse) { *v = got })
	return v
}

// submitAll submits and commits jobs, and checks that each of them is accepted.
func (l *testLeader) submitAll(jobs ...*wire.Job) {
	l.t.Helper()
	for _, j := range jobs {
		v := l.submitWithoutCommit(j)
		l.commit()
		if v.Status != 201 {
			l.t.Fatalf("submission of %s: got %+v, want status 201", j.ID, *v)
		}
	}
}

// commitBatch commits a batch of at most maxOps changes and returns their number. At most
// maxBackgroundOps of them are changes that no user waits for.
func (l *testLeader) commitBatch(maxOps, maxBackgroundOps int) int {
	b := l.NextWriteBatch(maxOps, maxBackgroundOps)
	if b == nil {
		return 0
	}
	l.apply(b.Mutations)
	l.MarkBatchCommitted(b, nil)
	return len(b.Mutations)
}

// queryState queries a job and returns the job state in the response, or the HTTP status if that is not
// 200.
func (l *testLeader) queryState(id string) string {
	response := l.Query(id)
	if response.Status == 200 {
		return response.State
	}
	return fmt.Sprint(response.Status)
}

// completedTask returns the status of a task that has completed.
func completedTask(task string, attempt uint64) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}
}

// TestNoStartBeforeDependenciesAreDurable checks that a job starts only once the end of its
// dependency is durable: until then a successor could run the dependency again or cancel it. The
// tasks of a blocked job do not count as ready.
func TestNoStartBeforeDependenciesAreDurable(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.submitAll(dependentJob("job-2", "job-1"), newJob("job-3"))
	if n := l.Summary(); n.ReadyTasks != 1 {
		t.Fatalf("%d tasks are ready, want only that of job-3", n.ReadyTasks)
	}
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m1", 1, task)); got != "run job-3/0" {
		t.Fatalf("got %q, want a start of job-3/0", got)
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	l.tickAfter(time.Second)
	l.sendHeartbeat("m3", 1)
	if n := l.Summary(); n.AllocatedTasks != 1 {
		t.Fatalf("%d tasks allocated before the end of job-1 is durable, want only that of job-3", n.AllocatedTasks)
	}
	if successor := newLeader(t, 6, l.now, l.store); successor.queryState("job-2") != wire.JobQueued || successor.Summary().ReadyTasks != 0 {
		t.Fatal("a successor does not report job-2 as queued and blocked, want this while the end of job-1 is not durable")
	}
	l.commit()
	l.tickAfter(time.Second)
	l.commit()
	if got := formatCommands(l.sendHeartbeat("m3", 1)) + formatCommands(l.sendHeartbeat("m1", 1)); !strings.Contains(got, "run job-2/0") {
		t.Fatalf("got %q, want a start of job-2/0", got)
	}
	// A successor loads the allocations of job-2 and job-3.
	successor := newLeader(t, 6, l.now, l.store)
	successor.tickAfter(time.Second)
	if n := successor.Summary(); n.AllocatedTasks != 2 {
		t.Fatalf("the successor has %d allocated tasks, want 2", n.AllocatedTasks)
	}
}

// TestSubmissionsWithDependencies checks which jobs with dependencies are accepted, and which are
// rejected permanently (422) or temporarily (503).
func TestSubmissionsWithDependencies(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-1"), newJob("job-2"))
	l.Cancel(l.now, "job-2", func(leader.JobResponse) {})
	l.commit()
	for _, c := range []struct {
		job        *wire.Job
		wantStatus int
		wantReason string
	}{
		{dependentJob("job-3", "job-1", "job-404"), 422, "job-404"},
		{dependentJob("job-3", "job-3"), 422, "job-3"},
		{dependentJob("job-3", "else"), 422, "else"},
		{dependentJob("job-3", strings.Repeat("<", 60_000)), 422, "<<"},
	} {
		if v := l.submitWithoutCommit(c.job); v.Status != c.wantStatus || !strings.Contains(v.Reason, c.wantReason) || len(v.Reason) > 300 {
			t.Errorf("job that depends on %.60v: got status %d and reason %.300s, want a short reason that names the dependency", c.job.DependsOn, v.Status, v.Reason)
		}
	}
	// A repeated submission gets the job state, even with other dependencies.
	if v := l.submitWithoutCommit(dependentJob("job-1", "job-404")); v.Status != 200 {
		t.Errorf("repeated submission: got %+v, want status 200", *v)
	}
	// A job is rejected temporarily if the acceptance of a dependency is not durable yet.
	l.submitWithoutCommit(newJob("job-4"))
	if v := l.submitWithoutCommit(dependentJob("job-5", "job-4")); v.Status != 503 {
		t.Errorf("the acceptance of the dependency is not durable: got %+v, want status 503", *v)
	}
	l.commit()
	// A job that depends on a cancelled one is accepted and cancelled at once. The user gets one
	// response, once the acceptance and the cancellation are durable: an earlier response would report
	// the state "queued", which is wrong.
	v := l.submitWithoutCommit(dependentJob("job-6", "job-1", "job-2"))
	if v.Status != 0 {
		t.Fatalf("got the response %+v before the acceptance is durable, want none", *v)
	}
	l.commit()
	if v.Status != 201 || v.State != wire.JobCancelled {
		t.Errorf("job that depends on a cancelled one: got %+v, want status 201 and state cancelled", *v)
	}
	successor := newLeader(t, 6, l.now, l.store)
	if got := successor.queryState("job-6"); got != wire.JobCancelled {
		t.Errorf("job-6 in the next term: got %s, want cancelled", got)
	}
}

// TestCancellationReachesDependents checks that the cancellation of a job also cancels its direct and
// indirect dependents without delaying other submissions. A successor cancels the dependents that its
// predecessor has not cancelled, and never reports one as queued. job-0 has 1,000 direct dependents, each
// with one dependent, and a chain of 1,000 further dependents.
func TestCancellationReachesDependents(t *testing.T) {
	useSmallStoreLimits(t)
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-0"), newJob("job-1"))
	var dependents []string
	submitDependent := func(dependencies ...string) string {
		id := fmt.Sprintf("job-%d", 1000+len(dependents))
		dependents = append(dependents, id)
		l.submitAll(dependentJob(id, dependencies...))
		return id
	}
	for range 1000 {
		submitDependent(submitDependent("job-0"), "job-1")
	}
	last := "job-0"
	for range 1000 {
		last = submitDependent(last)
	}
	cancelResponse := leader.JobResponse{}
	l.Cancel(l.now, "job-0", func(v leader.JobResponse) { cancelResponse = v })
	for cancelResponse.Status == 0 {
		l.commitBatch(7, 0) // only changes that users wait for
	}
	l.tickAfter(time.Second)
	if l.commitBatch(7, 0) == 0 {
		t.Fatal("a batch without background changes contains no cancellation of a dependent, want at least one")
	}
	rounds, maxTransactions := 0, 0
	for cancelledCount := 0; cancelledCount < len(dependents); rounds++ {
		if rounds == 40 {
			// The leader changes while most dependents are not cancelled yet.
			l = newLeader(t, 6, l.now, l.store)
		}
		if rounds > 700 {
			t.Fatalf("%d of %d dependents cancelled after 700 rounds, want all", cancelledCount, len(dependents))
		}
		l.tickAfter(200 * time.Millisecond)
		v := l.submitWithoutCommit(newJob(fmt.Sprintf("job-%d", 10_000+rounds)))
		transactions := 0
		for ; v.Status == 0; transactions++ {
			l.commitBatch(7, 7)
		}
		maxTransactions = max(maxTransactions, transactions)
		l.commitBatch(7, 7)
		l.commitBatch(7, 7)
		cancelledCount = 0
		for _, id := range dependents {
			if _, ok := l.store["f/"+id]; ok {
				cancelledCount++
			}
			// 503 is the response while the cancellation is not durable yet.
			if got := l.queryState(id); rounds >= 40 && got != wire.JobCancelled && got != "503" {
				t.Fatalf("%s is reported as %s, want cancelled or 503", id, got)
			}
		}
	}
	if maxTransactions > 1 {
		t.Errorf("a submission waited for %d transactions, want at most 1", maxTransactions)
	}
	if got := l.queryState("job-1"); got != wire.JobQueued {
		t.Errorf("job-1, the other dependency, is reported as %s, want queued", got)
	}
	for range 3000 {
		l.commitBatch(7, 7)
	}
	successor := newLeader(t, 7, l.now, l.store)
	for _, id := range dependents {
		if got := successor.queryState(id); got != wire.JobCancelled {
			t.Fatalf("in the next term, %s is reported as %s, want cancelled", id, got)
		}
	}
}

// TestJobThatNamesAJobBeingCancelled guards against a job that is reported as queued for longer than the time
// for cancellations: the cancellation of its dependency, which depends on a cancelled job, is not durable yet.
func TestJobThatNamesAJobBeingCancelled(t *testing.T) {
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	l.submitAll(newJob("job-0"), dependentJob("job-1", "job-0"))
	l.Cancel(l.now, "job-0", func(leader.JobResponse) {})
	l.commitBatch(7, 0)
	l.tickAfter(time.Second) // cancels job-1, whose final state is queued
	if v := l.submitWithoutCommit(dependentJob("job-2", "job-1")); v.Status != http.StatusServiceUnavailable {
		t.Errorf("submission while the cancellation of job-1 is not durable: got %+v, want status 503", *v)
	}
	l.commit()
	v := l.submitWithoutCommit(dependentJob("job-2", "job-1"))
	l.commit()
	if v.Status != http.StatusCreated || l.queryState("job-2") != wire.JobCancelled {
		t.Errorf("submission after the cancellation of job-1: got %+v and state %s, want 201 and cancelled", *v, l.queryState("job-2"))
	}
}

// TestCancelOfDoneJobKeepsDependents checks that the cancellation of a done job does not cancel its
// dependents.
func TestCancelOfDoneJobKeepsDependents(t *testing.T) {
	l, task := leaderWithRunningTask(t)
	l.submitAll(dependentJob("job-2", "job-1"))
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	var v leader.JobResponse
	l.Cancel(l.now, "job-1", func(got leader.JobResponse) { v = got })
	l.commit()
	if v.State != wire.JobDone {
		t.Fatalf("response to the cancellation: got %+v, want state done", v)
	}
	l.tickAfter(time.Second)
	if got := l.queryState("job-2"); got != wire.JobQueued || l.Summary().AllocatedTasks != 1 {
		t.Fatalf("job-2 is reported as %s, want queued; %d tasks allocated, want 1", got, l.Summary().AllocatedTasks)
	}
}

// TestWaitingTimeBeginsWhenDependenciesAreDone checks that the time for which a job was blocked does
// not count as waiting time: job-3, which was ready before job-2, is placed first.
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
			t.Fatalf("full machine: got %s, want no command", got)
		}
	}
	task.State, task.ExitReason = wire.TaskExited, wire.ExitDone
	l.sendHeartbeat("m1", 1, task)
	l.commit()
	l.tickAfter(time.Second)
	l.commit()
	got := formatCommands(l.sendHeartbeat("m1", 1))
	if !strings.HasPrefix(got, "run job-3/0") {
		t.Fatalf("got %s, want a start of job-3/0, which has waited longer since it was ready", got)
	}
}

// TestCriticalPathRaisesPriority checks that the first job of a chain whose last job is urgent is placed
// before a job of higher priority, unless the last job has been cancelled. A successor places the same
// job first.
func TestCriticalPathRaisesPriority(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		for _, changeLeader := range []bool{false, true} {
			l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
			first, other := newJob("job-1"), newJob("job-2")
			first.Priority, first.CPUs = wire.PriorityIdle, 8
			other.Priority, other.CPUs = wire.PriorityNormal, 8
			l.submitAll(first, other, dependentJob("job-3", "job-1"))
			last := dependentJob("job-4", "job-3")
			deadline := 70.0
			last.DeadlineS = &deadline
			l.submitAll(last)
			l.Tick(l.now, false /* holdsLeaderLease */)
			if cancelled {
				l.Cancel(l.now, "job-4", func(leader.JobResponse) {})
				l.Cancel(l.now, "job-3", func(leader.JobResponse) {})
				l.commit()
			}
			if changeLeader {
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
				t.Errorf("last job cancelled: %v, placed by a successor: %v: got %q, want %q", cancelled, changeLeader, got, want)
			}
		}
	}
}

// TestEarlierDeadlineOfChainGoesFirst checks that, of two chains of equal priority whose last jobs have
// deadlines, the first job of the chain with the earlier deadline is placed first.
func TestEarlierDeadlineOfChainGoesFirst(t *testing.T) {
	oldParams := testParams
	defer func() { testParams = oldParams }()
	testParams.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 16}}
	l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
	// Chain i consists of the jobs job-1<i>, job-2<i> and job-3<i>.
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

// TestCancelledAndBlockedJobsHoldNoGuarantee checks that cancelled and blocked jobs use none of their
// team's guaranteed CPUs: the team's next job is placed before a job of another team.
func TestCancelledAndBlockedJobsHoldNoGuarantee(t *testing.T) {
	oldParams := testParams
	defer func() { testParams = oldParams }()
	testParams.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 32}, {Name: "green", CPUs: 8, CPUsMax: 16}}
	for _, blocked := range []bool{false, true} {
		l := newLeader(t, 5, startTime, map[string]json.RawMessage{})
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
			t.Errorf("first job blocked (true) or cancelled (false): %v: got %q, want a start of job-2/0", blocked, got)
		}
	}
}
