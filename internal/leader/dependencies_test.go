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

// useTightLimits gives the tests the smallest limits that operators have announced.
func useTightLimits(t *testing.T) {
	t.Helper()
	old := params
	t.Cleanup(func() { params = old })
	params.KVStore.ValueKB, params.KVStore.TxnOps, params.KVStore.WriteRPS = 2, 8, 42
}

func dependentJob(id string, needs ...string) *wire.Job {
	j := spec(id)
	j.DependsOn = needs
	return j
}

// ask submits a job without waiting until it is durable.
func (l *testLeader) ask(j *wire.Job) *leader.Response {
	v := &leader.Response{}
	l.Submit(l.now, l.now, j, func(got leader.Response) { *v = got })
	return v
}

func (l *testLeader) accept(jobs ...*wire.Job) {
	l.t.Helper()
	for _, j := range jobs {
		v := l.ask(j)
		l.commit()
		if v.Status != 201 {
			l.t.Fatalf("%s: %+v", j.ID, *v)
		}
	}
}

// some commits a batch of at most ops changes, of which spare need not be made.
func (l *testLeader) some(ops, spare int) int {
	b := l.NextBatch(ops, spare)
	if b == nil {
		return 0
	}
	l.apply(b.Mutations)
	l.BatchCommitted(b, nil)
	return len(b.Mutations)
}

// state is what a user would be told.
func (l *testLeader) state(id string) string {
	response := l.Query(id)
	if response.Status == 200 {
		return response.State
	}
	return fmt.Sprint(response.Status)
}

func exited(task string, attempt uint64) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitDone}
}

// TestNoStartBeforeDependenciesAreDurable: a successor could run the earlier job
// again, or cancel it, as long as its end is only reported. What waits is no
// demand, and takes nothing of its team's guarantee.
func TestNoStartBeforeDependenciesAreDurable(t *testing.T) {
	l, tr := running(t)
	l.accept(dependentJob("job-2", "job-1"), spec("job-3"))
	if n := l.Counts(); n.ReadyTasks != 1 {
		t.Fatalf("%d tasks are ready, want that of job-3", n.ReadyTasks)
	}
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1, tr)); got != "run job-3/0" {
		t.Fatalf("started %q", got)
	}
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitDone
	l.report("m1", 1, tr)
	l.pass(time.Second)
	l.report("m3", 1)
	if n := l.Counts(); n.AllocatedTasks != 1 {
		t.Fatalf("%d tasks placed before the end of job-1 is durable, want that of job-3", n.AllocatedTasks)
	}
	if next := newLeader(t, 6, l.now, l.store); next.state("job-2") != wire.JobQueued || next.Counts().ReadyTasks != 0 {
		t.Fatal("a successor starts job-2 although it does not know job-1 as done")
	}
	l.commit()
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m3", 1)) + ops(l.report("m1", 1)); !strings.Contains(got, "run job-2/0") {
		t.Fatalf("not started: %q", got)
	}
	// A successor finds the same.
	next := newLeader(t, 6, l.now, l.store)
	next.pass(time.Second)
	if n := next.Counts(); n.AllocatedTasks != 2 {
		t.Fatalf("%d tasks held after the succession", n.AllocatedTasks)
	}
}

// TestSubmissionsWithDependencies: what is accepted, refused and put off.
func TestSubmissionsWithDependencies(t *testing.T) {
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-1"), spec("job-2"))
	l.Cancel(l.now, "job-2", func(leader.Response) {})
	l.commit()
	for _, c := range []struct {
		job    *wire.Job
		status int
		why    string
	}{
		{dependentJob("job-3", "job-1", "job-404"), 422, "job-404"},
		{dependentJob("job-3", "job-3"), 422, "job-3"},
		{dependentJob("job-3", "else"), 422, "else"},
		{dependentJob("job-3", strings.Repeat("<", 60_000)), 422, "<<"},
	} {
		if v := l.ask(c.job); v.Status != c.status || !strings.Contains(v.Reason, c.why) || len(v.Reason) > 300 {
			t.Errorf("%.60v: %d %.300s", c.job.DependsOn, v.Status, v.Reason)
		}
	}
	// Known jobs are known, whatever they are said to need.
	if v := l.ask(dependentJob("job-1", "job-404")); v.Status != 200 {
		t.Errorf("repeated: %+v", *v)
	}
	// An acceptance on its way is none yet.
	l.ask(spec("job-4"))
	if v := l.ask(dependentJob("job-5", "job-4")); v.Status != 503 {
		t.Errorf("needs a job that is being accepted: %+v", *v)
	}
	l.commit()
	// What needs a cancelled job is accepted and cancelled: its user hears both
	// at once, as "queued" would be wrong long after the first cancellation.
	v := l.ask(dependentJob("job-6", "job-1", "job-2"))
	if v.Status != 0 {
		t.Fatalf("told before it is durable: %+v", *v)
	}
	l.commit()
	if v.Status != 201 || v.State != wire.JobCancelled {
		t.Errorf("needs a cancelled job: %+v", *v)
	}
	next := newLeader(t, 6, l.now, l.store)
	if got := next.state("job-6"); got != wire.JobCancelled {
		t.Errorf("after a succession: %s", got)
	}
}

// TestCancellationReachesDependents: a job with two thousand that need it, in two
// layers, and a chain a thousand long are cancelled with it, in bounded steps;
// a leader that dies in the middle leaves nothing half done, nobody is told that
// one of them waits once it is known that it won't run, and whoever submits
// meanwhile is not held up.
func TestCancellationReachesDependents(t *testing.T) {
	useTightLimits(t)
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	l.accept(spec("job-0"), spec("job-1"))
	var all []string
	add := func(needs ...string) string {
		id := fmt.Sprintf("job-%d", 1000+len(all))
		all = append(all, id)
		l.accept(dependentJob(id, needs...))
		return id
	}
	for range 1000 {
		add(add("job-0"), "job-1")
	}
	last := "job-0"
	for range 1000 {
		last = add(last)
	}
	told := leader.Response{}
	l.Cancel(l.now, "job-0", func(v leader.Response) { told = v })
	for told.Status == 0 {
		l.some(7, 0)
	}
	l.pass(time.Second)
	if l.some(7, 0) == 0 {
		t.Fatal("what follows waits for others to want nothing")
	}
	rounds, worst := 0, 0
	for ended := 0; ended < len(all); rounds++ {
		if rounds == 40 {
			// Most of it is still to be done.
			l = newLeader(t, 6, l.now, l.store)
		}
		if rounds > 700 {
			t.Fatalf("%d of %d ended", ended, len(all))
		}
		l.pass(200 * time.Millisecond)
		v := l.ask(spec(fmt.Sprintf("job-%d", 10_000+rounds)))
		wait := 0
		for ; v.Status == 0; wait++ {
			l.some(7, 7)
		}
		worst = max(worst, wait)
		l.some(7, 7)
		l.some(7, 7)
		ended = 0
		for _, id := range all {
			if _, ok := l.store["f/"+id]; ok {
				ended++
			}
			if got := l.state(id); rounds >= 40 && got != wire.JobCancelled && got != "503" {
				t.Fatalf("%s is called %s", id, got)
			}
		}
	}
	if worst > 1 {
		t.Errorf("a submission waited for %d transactions", worst)
	}
	if got := l.state("job-1"); got != wire.JobQueued {
		t.Errorf("an earlier job is called %s", got)
	}
	for range 3000 {
		l.some(7, 7)
	}
	next := newLeader(t, 7, l.now, l.store)
	for _, id := range all {
		if got := next.state(id); got != wire.JobCancelled {
			t.Fatalf("%s is called %s after all", id, got)
		}
	}
}

// TestCancelledTooLate: a cancellation that is answered with done takes nothing
// along.
func TestCancelledTooLate(t *testing.T) {
	l, tr := running(t)
	l.accept(dependentJob("job-2", "job-1"))
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitDone
	l.report("m1", 1, tr)
	var v leader.Response
	l.Cancel(l.now, "job-1", func(got leader.Response) { v = got })
	l.commit()
	if v.State != wire.JobDone {
		t.Fatalf("%+v", v)
	}
	l.pass(time.Second)
	if got := l.state("job-2"); got != wire.JobQueued || l.Counts().AllocatedTasks != 1 {
		t.Fatalf("job-2 is called %s, %d held", got, l.Counts().AllocatedTasks)
	}
}

// TestWaitsStartWhenDependenciesAreDone: a job that had to wait for another one is no
// older than what came while it did.
func TestWaitsStartWhenDependenciesAreDone(t *testing.T) {
	l, tr := running(t)
	late, other := dependentJob("job-2", "job-1"), spec("job-3")
	late.CPUs, other.CPUs = 8, 8
	l.accept(late)
	for second := range 60 {
		if second == 30 {
			l.accept(other)
		}
		l.pass(time.Second)
		l.commit()
		if got := ops(l.report("m1", 1, tr)); got != "" {
			t.Fatalf("there is no room: %s", got)
		}
	}
	tr.State, tr.ExitReason = wire.TaskExited, wire.ExitDone
	l.report("m1", 1, tr)
	l.commit()
	l.pass(time.Second)
	l.commit()
	got := ops(l.report("m1", 1))
	if !strings.HasPrefix(got, "run job-3/0") {
		t.Fatalf("job-2 counts as waiting since its submission: %s", got)
	}
}

// TestCriticalPathDecides: an idle first stage goes before a normal job when the last
// one of its chain is urgent, and no more once that is cancelled; a successor
// finds the same.
func TestCriticalPathDecides(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		for _, succession := range []bool{false, true} {
			l := newLeader(t, 5, start, map[string]json.RawMessage{})
			first, other := spec("job-1"), spec("job-2")
			first.Priority, first.CPUs = wire.PriorityIdle, 8
			other.Priority, other.CPUs = wire.PriorityNormal, 8
			l.accept(first, other, dependentJob("job-3", "job-1"))
			last := dependentJob("job-4", "job-3")
			deadline := 70.0
			last.DeadlineS = &deadline
			l.accept(last)
			l.Tick(l.now, false)
			if cancelled {
				l.Cancel(l.now, "job-4", func(leader.Response) {})
				l.Cancel(l.now, "job-3", func(leader.Response) {})
				l.commit()
			}
			if succession {
				l = newLeader(t, 6, l.now, l.store)
			}
			l.report("m1", 1)
			l.pass(time.Second)
			l.commit()
			want := "run job-1/0"
			if cancelled {
				want = "run job-2/0"
			}
			if got := ops(l.report("m1", 1)); got != want {
				t.Errorf("cancelled %v, succession %v: %q, want %q", cancelled, succession, got, want)
			}
		}
	}
}

// TestTightestCriticalPath: of two chains of one priority that begin alike the one with
// less time goes first, though its own first stage has no deadline.
func TestTightestCriticalPath(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 16}}
	l := newLeader(t, 5, start, map[string]json.RawMessage{})
	for i, deadline := range []float64{400, 200} {
		first, last := spec(fmt.Sprint("job-1", i)), dependentJob(fmt.Sprint("job-3", i), fmt.Sprint("job-2", i))
		first.CPUs = 8
		last.DeadlineS = &deadline
		l.accept(first, dependentJob(fmt.Sprint("job-2", i), first.ID), last)
	}
	l.report("m1", 1)
	l.pass(time.Second)
	l.commit()
	if got := ops(l.report("m1", 1)); got != "run job-11/0" {
		t.Fatal(got)
	}
}

// TestEndedJobsHoldNoGuarantee: what is cancelled, or waits for others, leaves
// its team's guarantee to the next job.
func TestEndedJobsHoldNoGuarantee(t *testing.T) {
	old := params
	defer func() { params = old }()
	params.Teams = []config.Team{{Name: "blue", CPUs: 16, CPUsMax: 32}, {Name: "green", CPUs: 8, CPUsMax: 16}}
	for _, waits := range []bool{false, true} {
		l := newLeader(t, 5, start, map[string]json.RawMessage{})
		first, second, other := spec("job-1"), spec("job-2"), spec("job-3")
		first.Tasks, first.CPUs, second.CPUs, other.CPUs, other.Team = 2, 8, 8, 8, "green"
		if waits {
			running := spec("job-0")
			running.CPUs = 8
			l.accept(running)
			l.report("m2", 1)
			l.pass(time.Second)
			l.commit()
			if got := ops(l.report("m2", 1)); got != "run job-0/0" {
				t.Fatal(got)
			}
			first.DependsOn = []string{running.ID}
		}
		l.accept(first)
		l.now = l.now.Add(time.Second)
		l.accept(second)
		l.now = l.now.Add(time.Second)
		l.accept(other)
		if !waits {
			l.Cancel(l.now, first.ID, func(leader.Response) {})
			l.commit()
		}
		l.report("m1", 1)
		l.pass(time.Second)
		l.commit()
		if got := ops(l.report("m1", 1)); got != "run job-2/0" {
			t.Errorf("waits %v: %q", waits, got)
		}
	}
}
