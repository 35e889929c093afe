package jobs_test

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

func ids(list []*jobs.Job) []string {
	var names []string
	for _, j := range list {
		names = append(names, j.ID)
	}
	return names
}

func TestRunnableJobsAreListedByAge(t *testing.T) {
	r := jobs.NewRegistry()
	for i, id := range []string{"c", "b", "a"} {
		j := newActiveJob(id, 1)
		r.Add(j)
		if i == 0 {
			j.BeginWaiting(start.Add(time.Minute))
		}
		r.MarkRunnable(j)
	}
	if got := ids(r.RunnableByAge()); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("by age: %v", got)
	}
	r.MarkEnded(r.Get("b"))
	if got := ids(r.RunnableByAge()); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("after an end: %v", got)
	}
	if got := ids(slices.SortedFunc(r.Runnable(), func(x, y *jobs.Job) int { return x.SubmittedAt().Compare(y.SubmittedAt()) })); len(got) != 2 {
		t.Errorf("runnable: %v", got)
	}
}

func TestFinalStateOutlivesTheJob(t *testing.T) {
	r := jobs.NewRegistry()
	j := newActiveJob("a", 1)
	r.Add(j)
	if _, ended := r.FinalState("a"); ended || r.Len() != 1 {
		t.Error("a job has a final state before its end")
	}
	f := records.FinalState{Outcome: records.OutcomeDone, TasksDone: 1}
	r.SetFinalState("a", f)
	r.Remove(j)
	if got, ended := r.FinalState("a"); !ended || got != f || r.Get("a") != nil || r.Len() != 0 || r.EndedJobs() != 1 {
		t.Errorf("%+v, %v", got, ended)
	}
}

func TestCompletionsAreFlushedAfterDelay(t *testing.T) {
	u := jobs.PendingCompletions{}
	b, a, c := newActiveJob("b", 2), newActiveJob("a", 2), newActiveJob("c", 2)
	for _, j := range []*jobs.Job{b, a, c} {
		u.Add(start, j)
	}
	later := start.Add(tuning.CompletionFlushDelay)
	u.Add(later, b) // has waited since its first completion
	u.Remove(c)
	if got := u.PopDue(later.Add(-1)); got != nil {
		t.Errorf("too early: %v", ids(got))
	}
	if got := ids(u.PopDue(later)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("%v", got)
	}
	if got := u.PopDue(later); got != nil {
		t.Errorf("twice: %v", ids(got))
	}
}
