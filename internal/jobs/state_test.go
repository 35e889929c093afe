package jobs_test

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// testStart is when all test jobs are submitted.
var testStart = time.Unix(1_700_000_000, 0)

// newJob returns a job whose acceptance is not durable.
func newJob(id string, tasks int, dependsOn ...string) *jobs.Job {
	spec := wire.Job{
		ID: id, Class: "c", Team: "blue", Priority: wire.PriorityHigh, Tasks: tasks,
		CPUs: 2, EstimateS: 30, CheckpointIntervalS: 10, DependsOn: dependsOn,
	}
	return jobs.New(spec, testStart.UnixMilli(), testStart)
}

// newActiveJob returns a job whose acceptance is durable.
func newActiveJob(id string, tasks int, dependsOn ...string) *jobs.Job {
	j := newJob(id, tasks, dependsOn...)
	j.MarkAccepted()
	return j
}

func TestLegalStateTransitions(t *testing.T) {
	all := []jobs.State{jobs.Accepting, jobs.Active, jobs.Cancelled, jobs.Done}
	legal := map[jobs.State][]jobs.State{
		jobs.Accepting: {jobs.Active, jobs.Cancelled},
		jobs.Active:    {jobs.Cancelled, jobs.Done},
	}
	for _, from := range all {
		for _, to := range all {
			if got, want := from.CanBecome(to), slices.Contains(legal[from], to); got != want {
				t.Errorf("%v to %v: CanBecome is %v, want the opposite", from, to, got)
			}
		}
		if got, want := from.IsTerminal(), len(legal[from]) == 0; got != want {
			t.Errorf("%v: IsTerminal is %v, want the opposite", from, got)
		}
	}
}

func TestAcceptanceAfterCancellationLeavesTheJobCancelled(t *testing.T) {
	j := newJob("job-1", 2)
	if !j.MustWithholdState() {
		t.Error("the state is not withheld before the acceptance is durable")
	}
	f := j.End(testStart, jobs.Cancelled)
	if f.Outcome != records.OutcomeCancelled || f.TasksDone != 0 {
		t.Errorf("final state %+v, want cancelled and no task done", f)
	}
	if j.MarkAccepted() || j.IsActive() || !j.AcceptanceDurable() {
		t.Errorf("state %v after the acceptance became durable, want cancelled", j.State())
	}
}

func TestIllegalTransitionPanics(t *testing.T) {
	j := newActiveJob("job-1", 1)
	j.End(testStart, jobs.Done)
	defer func() {
		if recover() == nil {
			t.Error("no panic when a done job was cancelled")
		}
	}()
	j.End(testStart, jobs.Cancelled)
}

func TestRestoreEndAppliesTheStoredFinalState(t *testing.T) {
	for outcome, state := range map[records.Outcome]jobs.State{
		records.OutcomeDone:      jobs.Done,
		records.OutcomeCancelled: jobs.Cancelled,
	} {
		j := jobs.Restore(&records.StoredJob{Job: newJob("job-1", 1).Job, PieceKeys: []string{"n/job-1/1-0"}}, testStart)
		if !j.IsActive() || !slices.Equal(j.RecordKeys(), []string{"n/job-1/1-0"}) {
			t.Fatalf("restored as %v with keys %v, want active with the piece's key", j.State(), j.RecordKeys())
		}
		j.RestoreEnd(records.FinalState{Outcome: outcome})
		j.RestoreEnd(records.FinalState{Outcome: outcome}) // has no effect
		if j.State() != state || !j.EndDurable() || j.MustWithholdState() {
			t.Errorf("final state %c: restored as %v, want the durable state", outcome, j.State())
		}
	}
}

func TestWaitersAreNotifiedOnce(t *testing.T) {
	j := newJob("job-1", 1)
	var decisions []bool
	j.AddWaiter(func(decided bool) { decisions = append(decisions, decided) })
	j.NotifyWaiters(true)
	j.AddWaiter(func(decided bool) { decisions = append(decisions, decided) })
	j.NotifyWaiters(false)
	j.NotifyWaiters(true)
	if !slices.Equal(decisions, []bool{true, false}) {
		t.Errorf("got %v, want true for the first waiter, then false for the second", decisions)
	}
}
