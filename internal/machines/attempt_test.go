package machines_test

import (
	"slices"
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/wire"
)

// termStart is when the term of the tests begins.
var termStart = time.Unix(1_700_000_000, 0)

func newMachine() *machines.Machine {
	return machines.New(termStart, "m1", "std-8", "a", "m1:9", false)
}

// newActiveJob returns an accepted job with two tasks. They save checkpoints unless
// checkpointIntervalS is 0.
func newActiveJob(checkpointIntervalS float64) *jobs.Job {
	j := jobs.New(wire.Job{
		ID: "job-1", Team: "blue", Tasks: 2, CPUs: 2, MemoryGB: 1,
		CheckpointIntervalS: checkpointIntervalS, CheckpointSaveS: 7,
	}, 0, termStart)
	j.MarkAccepted()
	return j
}

func TestAttemptTransitions(t *testing.T) {
	all := []machines.AttemptState{
		machines.PossiblyStarted, machines.RecordPending, machines.StartSent,
		machines.Fetching, machines.Running, machines.Saving,
	}
	for _, from := range all {
		for _, to := range all {
			// A machine may report any state at any time. A start is sent only after its record
			// is durable.
			want := to.IsReported() || from == machines.RecordPending && to == machines.StartSent
			if got := from.CanBecome(to); got != want {
				t.Errorf("transition from %v to %v: allowed: %v, want the opposite", from, to, got)
			}
		}
	}
}

func TestStartIsSentOnlyAfterItsRecord(t *testing.T) {
	a := machines.NewPendingAttempt(newMachine(), newActiveJob(0), 0, termStart, 1, false)
	if a.NeedsStart() {
		t.Error("start needed before the record is durable")
	}
	a.MarkStartRecorded()
	if !a.NeedsStart() {
		t.Error("start not needed although the record is durable")
	}
	defer func() {
		if recover() == nil {
			t.Error("no panic when marked as recorded twice")
		}
	}()
	a.MarkStartRecorded()
}

func TestApplyReport(t *testing.T) {
	m := newMachine()
	a := machines.NewPendingAttempt(m, newActiveJob(0), 0, termStart, 1, false)
	a.MarkStartRecorded()
	steps := []struct {
		reported string
		state    machines.AttemptState
		began    bool
	}{
		{wire.TaskFetching, machines.Fetching, false},
		{wire.TaskRunning, machines.Running, true},
		{wire.TaskRunning, machines.Running, false},
		{wire.TaskSaving, machines.Saving, false},
	}
	for i, s := range steps {
		now := termStart.Add(time.Duration(i) * time.Second)
		if began := a.ApplyReport(now, machines.ReportedState(s.reported)); began != s.began || a.State() != s.state {
			t.Errorf("report %s: got state %v, began %v, want the values of the step", s.reported, a.State(), began)
		}
	}
	if got := a.RunTime(termStart.Add(11 * time.Second)); got != 10*time.Second {
		t.Errorf("run time %v, want 10s", got)
	}
}

func TestNeedsStop(t *testing.T) {
	for name, c := range map[string]struct {
		checkpointIntervalS float64
		stop                func(*machines.Attempt)
		reported            machines.AttemptState
		graceS              float64
		needed              bool
	}{
		"not stopped":            {stop: func(*machines.Attempt) {}, reported: machines.Running},
		"now":                    {checkpointIntervalS: 30, stop: (*machines.Attempt).RequestStop, reported: machines.Running, needed: true},
		"saving":                 {checkpointIntervalS: 30, stop: (*machines.Attempt).RequestGracefulStop, reported: machines.Running, graceS: 7, needed: true},
		"saving already":         {checkpointIntervalS: 30, stop: (*machines.Attempt).RequestGracefulStop, reported: machines.Saving, graceS: 7},
		"saving, no checkpoints": {stop: (*machines.Attempt).RequestGracefulStop, reported: machines.Running, needed: true},
		"evicted":                {checkpointIntervalS: 30, stop: (*machines.Attempt).RequestEviction, reported: machines.Running, graceS: 7, needed: true},
		"reverted":               {stop: func(a *machines.Attempt) { a.RequestStop(); a.RevertStop() }, reported: machines.Running},
		"now, while saving":      {checkpointIntervalS: 30, stop: (*machines.Attempt).RequestStop, reported: machines.Saving, needed: true},
	} {
		a := machines.NewPossiblyStartedAttempt(newMachine(), newActiveJob(c.checkpointIntervalS), 0, termStart)
		a.ApplyReport(termStart, c.reported)
		c.stop(a)
		if a.NeedsStop() != c.needed || a.GracePeriodS() != c.graceS || a.ShouldRun() == a.IsStopping() {
			t.Errorf("%s: got stop needed %v, grace period %v s, want the values of the case", name, a.NeedsStop(), a.GracePeriodS())
		}
		if first, second := a.MarkDirectStopIfNeeded(), a.MarkDirectStopIfNeeded(); first != a.IsStopping() || second {
			t.Errorf("%s: direct stop claimed: %v, then %v; want it claimed once if a stop is requested", name, first, second)
		}
	}
}

func TestProgressOfEndedAttempt(t *testing.T) {
	end := termStart.Add(25 * time.Second)
	for name, c := range map[string]struct {
		intervalS   float64
		saved       bool
		lost, saves float64
	}{
		"no checkpoints":       {lost: 25},
		"periodic checkpoints": {intervalS: 10, lost: 5, saves: 20},
		"saved when stopped":   {intervalS: 10, saved: true, saves: 25},
	} {
		a := machines.NewPossiblyStartedAttempt(newMachine(), newActiveJob(c.intervalS), 0, termStart)
		a.RecordProgress(end) // no effect, as the attempt has not run yet
		a.ApplyReport(termStart, machines.Running)
		a.MarkExited(c.saved, false)
		a.RecordProgress(end)
		if lost, saved := a.LostProgressS(end), a.Job.Progress(0); lost != c.lost || saved != c.saves {
			t.Errorf("%s: got %v s lost, %v s saved, want the values of the case", name, lost, saved)
		}
	}
}

func TestRegistry(t *testing.T) {
	r := machines.NewRegistry()
	for _, id := range []string{"m2", "m3", "m1"} {
		r.Add(machines.New(termStart, id, "std-8", "a", "", false))
	}
	names := func() []string {
		var list []string
		for _, m := range r.All() {
			list = append(list, m.ID)
		}
		return list
	}
	if got := names(); !slices.Equal(got, []string{"m1", "m2", "m3"}) {
		t.Errorf("machines %v, want [m1 m2 m3]", got)
	}
	r.Remove(r.Get("m2"))
	r.MarkReleased("m2")
	if got := names(); !slices.Equal(got, []string{"m1", "m3"}) || r.Len() != 2 || r.Get("m2") != nil || !r.WasReleased("m2") || r.WasReleased("m1") {
		t.Errorf("after the release of m2: machines %v, want [m1 m3] and only m2 released", got)
	}
}
