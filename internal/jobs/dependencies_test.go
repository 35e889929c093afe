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

const stageTime = time.Minute

// newGraph returns a graph of the given jobs, which are not linked yet.
func newGraph(list ...*jobs.Job) (*jobs.DependencyGraph, *jobs.Registry) {
	registry := jobs.NewRegistry()
	for _, j := range list {
		registry.Add(j)
	}
	return jobs.NewDependencyGraph(registry, func(*jobs.Job) time.Duration { return stageTime }), registry
}

func TestDependentIsUnblockedByItsLastDependency(t *testing.T) {
	a, b, c := newActiveJob("a", 1), newActiveJob("b", 1), newActiveJob("c", 1, "a", "b")
	g, registry := newGraph(a, b, c)
	g.Link(c)
	for i, id := range []string{"a", "b"} {
		f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: 1}
		registry.SetFinalState(id, f)
		g.JobEnded(id, f)
		if g.QueuedSteps() != 1 || g.PopJobWithDoneDependency() != c {
			t.Fatalf("%s: the dependent is not unblocked", id)
		}
		if blocked := i == 0; c.IsBlocked() != blocked {
			t.Errorf("after %s: blocked: %v", id, c.IsBlocked())
		}
	}
	if g.QueuedSteps() != 0 || g.PopJobWithDoneDependency() != nil || g.NextCancellation() != nil || g.PopJobWithOutdatedPath() != nil {
		t.Error("queued steps are left")
	}
}

func TestCancellationReachesDependents(t *testing.T) {
	a, b := newActiveJob("a", 1), newActiveJob("b", 1, "a")
	g, registry := newGraph(a, b)
	g.Link(b)
	f := a.End(start, jobs.Cancelled)
	registry.SetFinalState("a", f)
	g.JobEnded("a", f)
	if !g.HasCancellations() || g.NextCancellation() != b || g.HasCancellations() {
		t.Error("the dependent is not queued for cancellation exactly once")
	}
	late := newActiveJob("late", 1, "a")
	registry.Add(late)
	g.Link(late)
	if !late.DependencyCancelled() || late.IsBlocked() {
		t.Error("a job submitted after the cancellation is not cancelled")
	}
}

func TestCriticalPathIsTheTightest(t *testing.T) {
	withDeadline := func(id string, deadlineS float64, priority string, dependsOn ...string) *jobs.Job {
		spec := newJob(id, 1, dependsOn...).Job
		spec.Priority = priority
		if deadlineS > 0 {
			spec.DeadlineS = &deadlineS
		}
		j := jobs.New(spec, start.UnixMilli(), start)
		j.MarkAccepted()
		return j
	}
	first := withDeadline("first", 0, wire.PriorityIdle)
	middle := withDeadline("middle", 0, wire.PriorityIdle, "first")
	direct := withDeadline("direct", 3600, wire.PriorityIdle, "first")
	last := withDeadline("last", 1800, wire.PriorityHigh, "middle")
	list := []*jobs.Job{first, middle, direct, last}
	g, _ := newGraph(list...)
	if missing, cyclic := g.LinkAll(list); len(missing)+len(cyclic) > 0 {
		t.Fatalf("missing %v, cyclic %v", missing, cyclic)
	}
	want := jobs.CriticalPath{Last: last, Due: start.Add(30*time.Minute - 2*stageTime), DownstreamTime: 2 * stageTime}
	if got := first.CriticalPath(); got != want || first.PriorityRank() != wire.PriorityRank(wire.PriorityHigh) {
		t.Errorf("path %+v, rank %d", got, first.PriorityRank())
	}
	last.End(start, jobs.Cancelled)
	g.QueuePathUpdates(last)
	for j := g.PopJobWithOutdatedPath(); j != nil; j = g.PopJobWithOutdatedPath() {
		if g.UpdateCriticalPath(j) {
			g.QueuePathUpdates(j)
		}
	}
	want = jobs.CriticalPath{Last: direct, Due: start.Add(time.Hour - stageTime), DownstreamTime: stageTime}
	if got := first.CriticalPath(); got != want || first.PriorityRank() != wire.PriorityRank(wire.PriorityIdle) {
		t.Errorf("without the cancelled job: path %+v, rank %d", got, first.PriorityRank())
	}
}

func TestDamagedRecordsAreReported(t *testing.T) {
	a, b := newActiveJob("a", 1, "b"), newActiveJob("b", 1, "a")
	lost := newActiveJob("lost", 1, "nowhere")
	list := []*jobs.Job{a, b, lost}
	g, _ := newGraph(list...)
	missing, cyclic := g.LinkAll(list)
	if len(missing) != 1 || missing[0].Job != lost || missing[0].Dependency != "nowhere" {
		t.Errorf("missing %+v", missing)
	}
	if !slices.Equal(cyclic, []*jobs.Job{a, b}) {
		t.Errorf("cyclic %v", cyclic)
	}
	if g.UpdateCriticalPath(a) || !a.IsBlocked() || !lost.IsBlocked() {
		t.Error("jobs with corrupt records are not blocked")
	}
}

// TestRandomGraphUnblocksInOrder ends the jobs of random graphs in the order in which they are
// unblocked. Every job must be unblocked exactly when all its dependencies have ended.
func TestRandomGraphUnblocksInOrder(t *testing.T) {
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
			t.Fatalf("seed %d: missing %v, cyclic %v", seed, missing, cyclic)
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
					t.Fatalf("seed %d: %s runs before %s has ended", seed, j.ID, id)
				}
			}
			f := j.End(start, jobs.Done)
			registry.SetFinalState(j.ID, f)
			g.JobEnded(j.ID, f)
			for d := g.PopJobWithDoneDependency(); d != nil; d = g.PopJobWithDoneDependency() {
				if !d.IsBlocked() {
					runnable = append(runnable, d)
				}
			}
		}
		if registry.EndedJobs() != len(list) {
			t.Errorf("seed %d: %d of %d jobs have ended", seed, registry.EndedJobs(), len(list))
		}
	}
}
