package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// jobDuration is the estimated time from the end of a job's last dependency to its own end.
const jobDuration = time.Minute

// newGraph returns a graph of the given jobs, which are not linked yet.
func newGraph(list ...*jobs.Job) (*jobs.DependencyGraph, *jobs.Registry) {
	registry := jobs.NewRegistry()
	for _, j := range list {
		registry.Add(j)
	}
	return jobs.NewDependencyGraph(registry,
		func(*jobs.Job) time.Duration { return jobDuration }), registry
}

func TestDependentIsUnblockedByItsLastDependency(t *testing.T) {
	a, b, c := newActiveJob("a", 1), newActiveJob("b", 1), newActiveJob("c", 1, "a", "b")
	g, registry := newGraph(a, b, c)
	g.Link(c)
	for i, id := range []string{"a", "b"} {
		f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: 1}
		registry.SetFinalState(id, f)
		g.QueueDependents(id, f)
		if g.QueuedJobs() != 1 || g.PopJobWithDoneDependency() != c {
			t.Fatalf("%s is done: the queues don't contain exactly the dependent with a done dependency", id)
		}
		// After a is done, b still blocks c.
		if blocked := i == 0; c.IsBlocked() != blocked {
			t.Errorf("%s is done: c.IsBlocked() is %v, want the opposite", id, c.IsBlocked())
		}
	}
	if g.QueuedJobs() != 0 || g.PopJobWithDoneDependency() != nil || g.PopJobToCancel() != nil ||
		g.PopJobWithOutdatedPath() != nil {
		t.Error("jobs are left in the queues, want none")
	}
}

func TestCancellationReachesDependents(t *testing.T) {
	a, b := newActiveJob("a", 1), newActiveJob("b", 1, "a")
	g, registry := newGraph(a, b)
	g.Link(b)
	f := a.End(testStart, jobs.Cancelled)
	registry.SetFinalState("a", f)
	g.QueueDependents("a", f)
	if !g.HasJobsToCancel() || g.PopJobToCancel() != b || g.HasJobsToCancel() {
		t.Error("the dependent is not queued exactly once for cancellation")
	}
	late := newActiveJob("late", 1, "a")
	registry.Add(late)
	g.Link(late)
	if !late.DependencyCancelled() || late.IsBlocked() {
		t.Error("a job submitted after the cancellation of its dependency must be marked and not blocked")
	}
}

func TestCriticalPathHasTheEarliestDueTime(t *testing.T) {
	// withDeadline returns an accepted job, without a deadline if deadlineS is 0.
	withDeadline := func(id string, deadlineS float64, priority string, dependsOn ...string) *jobs.Job {
		spec := newJob(id, 1, dependsOn...).Job
		spec.Priority = priority
		if deadlineS > 0 {
			spec.DeadlineS = &deadlineS
		}
		j := jobs.New(spec, testStart.UnixMilli(), testStart)
		j.MarkAccepted()
		return j
	}
	// middle and direct depend on first, and last depends on middle.
	first := withDeadline("first", 0, wire.PriorityIdle)
	middle := withDeadline("middle", 0, wire.PriorityIdle, "first")
	direct := withDeadline("direct", 3600, wire.PriorityIdle, "first")
	last := withDeadline("last", 1800, wire.PriorityHigh, "middle")
	list := []*jobs.Job{first, middle, direct, last}
	g, _ := newGraph(list...)
	if missing, cyclic := g.LinkAll(list); len(missing)+len(cyclic) > 0 {
		t.Fatalf("missing dependencies %v, cyclic jobs %v, want none", missing, cyclic)
	}
	want := jobs.CriticalPath{Last: last, Due: testStart.Add(30*time.Minute - 2*jobDuration), DownstreamTime: 2 * jobDuration}
	if got := first.CriticalPath(); got != want || first.PriorityRank() != wire.PriorityRank(wire.PriorityHigh) {
		t.Errorf("critical path %+v, rank %d, want those of the job last", got, first.PriorityRank())
	}
	last.End(testStart, jobs.Cancelled)
	g.QueueCriticalPathUpdates(last)
	for j := g.PopJobWithOutdatedPath(); j != nil; j = g.PopJobWithOutdatedPath() {
		if g.UpdateCriticalPath(j) {
			g.QueueCriticalPathUpdates(j)
		}
	}
	want = jobs.CriticalPath{Last: direct, Due: testStart.Add(time.Hour - jobDuration), DownstreamTime: jobDuration}
	if got := first.CriticalPath(); got != want || first.PriorityRank() != wire.PriorityRank(wire.PriorityIdle) {
		t.Errorf("last is cancelled: critical path %+v, rank %d, want those of direct", got, first.PriorityRank())
	}
}

func TestLinkAllReportsCorruptDependencies(t *testing.T) {
	a, b := newActiveJob("a", 1, "b"), newActiveJob("b", 1, "a")
	dependent := newActiveJob("dependent", 1, "nowhere")
	list := []*jobs.Job{a, b, dependent}
	g, _ := newGraph(list...)
	missing, cyclic := g.LinkAll(list)
	if len(missing) != 1 || missing[0].Job != dependent || missing[0].Dependency != "nowhere" {
		t.Errorf("missing dependencies %+v, want only nowhere of the job dependent", missing)
	}
	if !slices.Equal(cyclic, []*jobs.Job{a, b}) {
		t.Errorf("cyclic jobs %v, want a and b", cyclic)
	}
	if g.UpdateCriticalPath(a) || !a.IsBlocked() || !dependent.IsBlocked() {
		t.Error("the path of a cyclic job has changed, or a job with corrupt dependencies is not blocked")
	}
}

// TestJobsAreUnblockedAfterAllDependencies ends the jobs of random graphs in a random order of the
// unblocked jobs. A job must be unblocked only after all its dependencies have ended, and all jobs
// must be unblocked in the end.
func TestJobsAreUnblockedAfterAllDependencies(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, seed))
		var list []*jobs.Job
		for i := range 40 {
			var dependsOn []string
			for k := range i {
				if rng.IntN(8) == 0 {
					dependsOn = append(dependsOn, fmt.Sprintf("job-%d", k))
				}
			}
			list = append(list, newActiveJob(fmt.Sprintf("job-%d", i), 1, dependsOn...))
		}
		g, registry := newGraph(list...)
		if missing, cyclic := g.LinkAll(list); len(missing)+len(cyclic) > 0 {
			t.Fatalf("seed %d: missing dependencies %v, cyclic jobs %v, want none", seed, missing, cyclic)
		}
		var runnable []*jobs.Job
		for _, j := range list {
			if !j.IsBlocked() {
				runnable = append(runnable, j)
			}
		}
		for len(runnable) > 0 {
			i := rng.IntN(len(runnable))
			j := runnable[i]
			runnable = slices.Delete(runnable, i, i+1)
			for _, id := range j.DependsOn {
				if _, ended := registry.FinalState(id); !ended {
					t.Fatalf("seed %d: %s is unblocked before its dependency %s has ended", seed, j.ID, id)
				}
			}
			f := j.End(testStart, jobs.Done)
			registry.SetFinalState(j.ID, f)
			g.QueueDependents(j.ID, f)
			for d := g.PopJobWithDoneDependency(); d != nil; d = g.PopJobWithDoneDependency() {
				if !d.IsBlocked() {
					runnable = append(runnable, d)
				}
			}
		}
		if registry.EndedJobs() != len(list) {
			t.Errorf("seed %d: %d of %d jobs have ended, want all", seed, registry.EndedJobs(), len(list))
		}
	}
}
