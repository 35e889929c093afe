package jobs_test

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

func jobIDs(list []*jobs.Job) []string {
	var ids []string
	for _, j := range list {
		ids = append(ids, j.ID)
	}
	return ids
}

func TestRunnableJobsAreListedByAge(t *testing.T) {
	r := jobs.NewRegistry()
	for i, id := range []string{"c", "b", "a"} {
		j := newActiveJob(id, 1)
		r.Add(j)
		if i == 0 {
			j.BeginWaiting(testStart.Add(time.Minute))
		}
		r.MarkRunnable(j)
	}
	if got := jobIDs(r.RunnableByAge()); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("got %v, want a and b in this order, then c, which has waited least", got)
	}
	r.MarkNotRunnable(r.Get("b"))
	if got := jobIDs(r.RunnableByAge()); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("after the end of b: got %v, want a, c", got)
	}
	if got := jobIDs(slices.SortedFunc(r.Runnable(), func(x, y *jobs.Job) int {
		return x.SubmittedAt().Compare(y.SubmittedAt())
	})); len(got) != 2 {
		t.Errorf("runnable jobs: got %v, want 2", got)
	}
}

func TestFinalStateIsKeptAfterTheJobIsRemoved(t *testing.T) {
	r := jobs.NewRegistry()
	j := newActiveJob("a", 1)
	r.Add(j)
	if _, ended := r.FinalState("a"); ended || r.Len() != 1 {
		t.Error("the job has a final state before its end, or the registry has not exactly one job")
	}
	f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: 1}
	r.SetFinalState("a", f)
	r.Remove(j)
	if got, ended := r.FinalState("a"); !ended || got != f || r.Get("a") != nil || r.Len() != 0 ||
		r.EndedJobs() != 1 {
		t.Errorf("final state %+v, ended %v, want one final state and no job", got, ended)
	}
}

func TestPendingCompletionsAreDueAfterTheFlushDelay(t *testing.T) {
	pending := jobs.PendingCompletions{}
	b, a, c := newActiveJob("b", 2), newActiveJob("a", 2), newActiveJob("c", 2)
	for _, j := range []*jobs.Job{b, a, c} {
		pending.Add(testStart, j)
	}
	later := testStart.Add(tuning.CompletionFlushDelay)
	pending.Add(later, b) // does not delay the first completion of b
	pending.Remove(c)
	if got := pending.PopDue(later.Add(-1)); got != nil {
		t.Errorf("before the delay has passed: got %v, want none", jobIDs(got))
	}
	if got := jobIDs(pending.PopDue(later)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("after the delay: got %v, want a, b", got)
	}
	if got := pending.PopDue(later); got != nil {
		t.Errorf("second call: got %v, want none", jobIDs(got))
	}
}
