package jobs_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/tuning"
)

const valueLimit = 16 << 10

// placeAll places all ready tasks and returns their indexes in order.
func placeAll(j *jobs.Job, now time.Time) []int32 {
	var indexes []int32
	for j.ReadyTasks() > 0 {
		indexes = append(indexes, j.PopReadyTask(now))
	}
	return indexes
}

func TestTaskIsReadyAgainOnceNoMachineMayHaveIt(t *testing.T) {
	j := newActiveJob("job-1", 3)
	j.Complete(1)
	j.RebuildReadyTasks()
	if got := placeAll(j, start); len(got) != 2 || got[0] != 0 || got[1] != 2 {
		t.Fatalf("placed %v", got)
	}
	j.Allocate(0, "a")
	j.Allocate(0, "b")
	if j.AllocatedTasks() != 1 || j.AllocationsOf(0) != 2 {
		t.Fatalf("%d tasks, %d machines", j.AllocatedTasks(), j.AllocationsOf(0))
	}
	if j.Release(0, "a") || j.ReadyTasks() != 0 {
		t.Error("ready while another machine may have the task")
	}
	if !j.Release(0, "b") || j.ReadyTasks() != 1 || j.AllocatedTasks() != 0 {
		t.Error("not ready though no machine may have the task")
	}
	if zones := j.Constraints().TasksByZone; len(zones) != 0 {
		t.Errorf("in zones %v", zones)
	}
	j.RemoveReadyTask(0)
	if j.ReadyTasks() != 0 {
		t.Error("still ready")
	}
}

func TestCompletedTaskIsNotReadyAgain(t *testing.T) {
	j := newActiveJob("job-1", 1)
	j.RebuildReadyTasks()
	j.Allocate(j.PopReadyTask(start), "a")
	if !j.Complete(0) || j.Complete(0) || !j.AllCompleted() || j.NeedsTask(0) || j.RemainingTasks() != 0 {
		t.Error("the completion is not counted once")
	}
	if !j.Release(0, "a") || j.ReadyTasks() != 0 {
		t.Error("a completed task is ready")
	}
}

func TestCompletionsAreStoredByChunk(t *testing.T) {
	j := newActiveJob("job-1", 3)
	for _, index := range []int32{0, 2} {
		j.Complete(index)
		j.MarkCompletionUnsaved(index, valueLimit)
	}
	list := j.PopUnsavedCompletions(valueLimit)
	if len(list) != 1 || len(j.RecordKeys()) != 1 || j.RecordKeys()[0] != list[0].Key {
		t.Fatalf("records %+v, keys %v", list, j.RecordKeys())
	}
	if j.IsCompletionStored(0) {
		t.Error("stored before the record is durable")
	}
	j.MarkStored(list[0])
	if !j.IsCompletionStored(0) || j.IsCompletionStored(1) || !j.IsCompletionStored(2) {
		t.Error("other completions are stored than those of the record")
	}
	if rest := j.PopUnsavedCompletions(valueLimit); len(rest) != 0 {
		t.Errorf("written twice: %+v", rest)
	}
}

func TestProgressIsSavedByInterval(t *testing.T) {
	for name, c := range map[string]struct {
		ranS  float64
		saved bool
		want  float64
	}{
		"before the first checkpoint": {ranS: 9, want: 0},
		"between checkpoints":         {ranS: 25, want: 20},
		"saved when stopped":          {ranS: 25, saved: true, want: 25},
	} {
		j := newActiveJob("job-1", 2)
		j.RecordProgress(1, c.ranS, c.saved)
		if got := j.Progress(1); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
		if got, want := j.InterruptedTasks() == 1, c.want > 0; got != want {
			t.Errorf("%s: interrupted: %v", name, got)
		}
	}
}

func TestFailuresBackOffUpToALimit(t *testing.T) {
	j := newActiveJob("job-1", 2)
	for range 40 {
		j.RecordFailure(start)
	}
	if !j.IsBackingOff(start.Add(tuning.FailureBackoffMax-1)) || j.IsBackingOff(start.Add(tuning.FailureBackoffMax)) {
		t.Error("the delay is not the longest one")
	}
	j.DelayUntil(start)
	if !j.IsBackingOff(start) {
		t.Error("a delay was shortened")
	}
	j.RecordFailureOn("m1")
	j.RecordSuccess()
	if j.Failures() != 0 || len(j.FailedOn()) != 0 {
		t.Error("failures count after a success")
	}
}

func TestJobFailsEverywhereUntilATaskIsDone(t *testing.T) {
	j := newActiveJob("job-1", 2)
	for i := range tuning.FaultyJobMachines {
		if j.FailsEverywhere() {
			t.Fatalf("reported after %d machines", i)
		}
		j.RecordFailureOn(string(rune('a' + i)))
	}
	if !j.FailsEverywhere() {
		t.Error("not reported after failures on enough machines")
	}
	j.Complete(0)
	if j.FailsEverywhere() {
		t.Error("reported although a task is done")
	}
}
