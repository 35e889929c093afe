package jobs_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/tuning"
)

const valueLimit = 16 << 10 // bytes of a stored value

// popAllReadyTasks pops all ready tasks and returns their indexes in this order.
func popAllReadyTasks(j *jobs.Job, now time.Time) []int32 {
	var indexes []int32
	for j.ReadyTasks() > 0 {
		indexes = append(indexes, j.PopReadyTask(now))
	}
	return indexes
}

func TestTaskIsReadyAgainOnceNoMachineMayHaveIt(t *testing.T) {
	j := newActiveJob("job-1", 3)
	j.MarkCompleted(1)
	j.RebuildReadyTasks()
	if got := popAllReadyTasks(j, testStart); len(got) != 2 || got[0] != 0 || got[1] != 2 {
		t.Fatalf("ready tasks %v, want 0 and 2", got)
	}
	j.Allocate(0, "a")
	j.Allocate(0, "b")
	if j.AllocatedTasks() != 1 || j.AllocationsOf(0) != 2 {
		t.Fatalf("%d allocated tasks, want 1; %d machines with task 0, want 2",
			j.AllocatedTasks(), j.AllocationsOf(0))
	}
	if j.Release(0, "a") || j.ReadyTasks() != 0 {
		t.Error("the task is ready although another machine may have it")
	}
	if !j.Release(0, "b") || j.ReadyTasks() != 1 || j.AllocatedTasks() != 0 {
		t.Error("the task is not ready although no machine may have it")
	}
	if zones := j.PlacementConstraints().TasksByZone; len(zones) != 0 {
		t.Errorf("tasks by zone %v, want none", zones)
	}
	j.RemoveReadyTask(0)
	if j.ReadyTasks() != 0 {
		t.Error("the removed task is still ready")
	}
}

func TestCompletedTaskIsNotReadyAgain(t *testing.T) {
	j := newActiveJob("job-1", 1)
	j.RebuildReadyTasks()
	j.Allocate(j.PopReadyTask(testStart), "a")
	if !j.MarkCompleted(0) || j.MarkCompleted(0) || !j.AllCompleted() || j.NeedsTask(0) ||
		j.RemainingTasks() != 0 {
		t.Error("the completion is not counted exactly once")
	}
	if !j.Release(0, "a") || j.ReadyTasks() != 0 {
		t.Error("a completed task is ready")
	}
}

func TestCompletionsAreWrittenByChunk(t *testing.T) {
	j := newActiveJob("job-1", 3)
	for _, index := range []int32{0, 2} {
		j.MarkCompleted(index)
		j.MarkCompletionPending(index, valueLimit)
	}
	list := j.PopPendingCompletions(valueLimit)
	if len(list) != 1 || len(j.RecordKeys()) != 1 || j.RecordKeys()[0] != list[0].Key {
		t.Fatalf("records %+v, keys %v, want one record and its key", list, j.RecordKeys())
	}
	if j.IsCompletionDurable(0) {
		t.Error("a completion counts as durable before its record is")
	}
	j.MarkCompletionsDurable(list[0])
	if !j.IsCompletionDurable(0) || j.IsCompletionDurable(1) || !j.IsCompletionDurable(2) {
		t.Error("the durable completions are not those of tasks 0 and 2")
	}
	if rest := j.PopPendingCompletions(valueLimit); len(rest) != 0 {
		t.Errorf("records to be written a second time: %+v, want none", rest)
	}
}

func TestProgressCountsCheckpointedTime(t *testing.T) {
	for name, c := range map[string]struct {
		ranS            float64 // checkpoints are saved every 10 s
		checkpointSaved bool    // when the attempt was stopped
		want            float64 // progress in seconds
	}{
		"before the first checkpoint": {ranS: 9, want: 0},
		"between checkpoints":         {ranS: 25, want: 20},
		"saved when stopped":          {ranS: 25, checkpointSaved: true, want: 25},
	} {
		j := newActiveJob("job-1", 2)
		j.RecordProgress(1, c.ranS, c.checkpointSaved)
		if got := j.Progress(1); got != c.want {
			t.Errorf("%s: progress %v s, want that of the case", name, got)
		}
		if got, want := j.TasksWithProgress() == 1, c.want > 0; got != want {
			t.Errorf("%s: counted as a task with progress: %v, want the opposite", name, got)
		}
	}
}

func TestDelayAfterFailuresIsLimited(t *testing.T) {
	j := newActiveJob("job-1", 2)
	for range 40 {
		j.RecordFailure(testStart)
	}
	if !j.IsBackingOff(testStart.Add(tuning.FailureBackoffMax-1)) ||
		j.IsBackingOff(testStart.Add(tuning.FailureBackoffMax)) {
		t.Error("the delay is not FailureBackoffMax")
	}
	j.DelayUntil(testStart)
	if !j.IsBackingOff(testStart) {
		t.Error("DelayUntil with an earlier time has shortened the delay")
	}
	j.RecordFailureOn("m1")
	j.RecordSuccess()
	if j.Failures() != 0 || len(j.FailedOn()) != 0 {
		t.Error("failures are not reset after a success")
	}
}

func TestJobFailsEverywhereUntilATaskIsDone(t *testing.T) {
	j := newActiveJob("job-1", 2)
	for i := range tuning.FaultyJobMachines {
		if j.FailsEverywhere() {
			t.Fatalf("FailsEverywhere is true after failures on %d machines, want false", i)
		}
		j.RecordFailureOn(string(rune('a' + i)))
	}
	if !j.FailsEverywhere() {
		t.Error("FailsEverywhere is false after failures on FailsEverywhereMachines machines")
	}
	j.MarkCompleted(0)
	if j.FailsEverywhere() {
		t.Error("FailsEverywhere is true although a task is done")
	}
}
