package jobs

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/records"
)

// taskSet is the state of a job's tasks, which are identified by their indexes.
type taskSet struct {
	completed          *intervals.Set
	durableCompletions *intervals.Set // tasks whose completions are durable; nil if none
	pendingChunks      map[int]bool   // numbers of the chunks with completions to be written
	ready              []int32        // tasks to be placed, the next one at the end
	allocations        map[int32]int8 // number of machines that may have each task
	allocationsByZone  map[string]int // the same machines, counted by zone
	runningAttempts    int
	// progress is the checkpointed run time, in seconds, of tasks that have to run again. It
	// includes only attempts that ended in this term.
	progress map[int32]float64
	// waitingForPlacementSince is when a task of the job was last placed, or if none was, when the
	// job could first be placed.
	waitingForPlacementSince time.Time
	// firstPlacedAt and lastPlacedAt are when a task was first and last placed in this term, or
	// zero.
	firstPlacedAt, lastPlacedAt time.Time
}

// NeedsTask reports whether a task of the job still has to run.
func (j *Job) NeedsTask(index int) bool { return j.state == Active && !j.completed.Has(index) }

// IsCompleted reports whether a task has completed.
func (t *taskSet) IsCompleted(index int32) bool { return t.completed.Has(int(index)) }

// CompletedTasks returns the number of completed tasks.
func (t *taskSet) CompletedTasks() int { return t.completed.Len() }

// AllCompleted reports whether all tasks have completed.
func (t *taskSet) AllCompleted() bool { return t.completed.Full() }

// RemainingTasks returns the number of tasks that have not completed.
func (j *Job) RemainingTasks() int { return j.Tasks - j.completed.Len() }

// MarkCompleted marks a task as completed. It reports whether the task was not completed before.
func (t *taskSet) MarkCompleted(index int32) bool { return t.completed.Add(int(index)) }

// MarkCompletionPending records that the completion of a task has to be written. valueLimit, the
// maximum size of a stored value, determines the chunk that contains the task.
func (t *taskSet) MarkCompletionPending(index int32, valueLimit int) {
	t.pendingChunks[int(index)/records.CompletionChunkSize(valueLimit)] = true
}

// PopPendingCompletions returns the records of all chunks with completions to be written. The
// caller has to write them: the next call does not return them again.
func (j *Job) PopPendingCompletions(valueLimit int) []records.Completions {
	list := make([]records.Completions, 0, len(j.pendingChunks))
	for _, chunk := range slices.Sorted(maps.Keys(j.pendingChunks)) {
		r := records.NewCompletions(j.ID, j.completed, chunk, valueLimit)
		j.AddRecordKey(r.Key)
		list = append(list, r)
	}
	clear(j.pendingChunks)
	return list
}

// RestoreCompletion marks a task as completed whose stored completion was loaded.
func (j *Job) RestoreCompletion(index int) {
	j.completed.Add(index)
	j.markCompletionDurable(index)
}

// MarkCompletionsDurable records that the completions in c are durable. After that the workers may
// forget these attempts.
func (j *Job) MarkCompletionsDurable(c records.Completions) {
	// NewCompletions has formatted the text, so parsing can't fail.
	_ = intervals.ParseEach(c.Tasks, j.Tasks, j.markCompletionDurable)
}

func (j *Job) markCompletionDurable(index int) {
	if j.durableCompletions == nil {
		j.durableCompletions = intervals.New(j.Tasks)
	}
	j.durableCompletions.Add(index)
}

// IsCompletionDurable reports whether the completion of a task, or the end of the job, is durable.
func (j *Job) IsCompletionDurable(index int32) bool {
	return j.endDurable || j.durableCompletions != nil && j.durableCompletions.Has(int(index))
}

// RebuildReadyTasks makes every task ready that has not completed and that no machine may have.
func (j *Job) RebuildReadyTasks() {
	j.ready = j.ready[:0]
	for i := int32(j.Tasks) - 1; i >= 0; i-- {
		if !j.IsCompleted(i) && j.allocations[i] == 0 {
			j.ready = append(j.ready, i)
		}
	}
}

// ReadyTasks returns the number of tasks to be placed.
func (t *taskSet) ReadyTasks() int { return len(t.ready) }

// PopReadyTask removes the next task to be placed from the ready tasks and returns it. The caller
// places it at now. There must be a ready task.
func (t *taskSet) PopReadyTask(now time.Time) int32 {
	last := len(t.ready) - 1
	index := t.ready[last]
	t.ready = t.ready[:last]
	t.waitingForPlacementSince, t.lastPlacedAt = now, now
	if t.firstPlacedAt.IsZero() {
		t.firstPlacedAt = now
	}
	return index
}

// RemoveReadyTask removes a task from the ready tasks if it is among them.
func (t *taskSet) RemoveReadyTask(index int32) {
	if i := slices.Index(t.ready, index); i >= 0 {
		t.ready = slices.Delete(t.ready, i, i+1)
	}
}

// PlacementWait returns the time since a task was last placed, or if none was, since the job could
// first be placed.
func (t *taskSet) PlacementWait(now time.Time) time.Duration {
	return now.Sub(t.waitingForPlacementSince)
}

// PlacementTimes returns when a task was first and last placed in this term, or zero times.
func (t *taskSet) PlacementTimes() (first, last time.Time) { return t.firstPlacedAt, t.lastPlacedAt }

// Allocate counts one more machine, in the given zone, that may have the task.
func (t *taskSet) Allocate(index int32, zone string) {
	t.allocationsByZone[zone]++
	t.allocations[index]++
}

// Release counts one machine less, in the given zone, that may have the task. It reports whether
// that was the last one; the task then becomes ready again if it still has to run.
func (j *Job) Release(index int32, zone string) (last bool) {
	if j.allocationsByZone[zone]--; j.allocationsByZone[zone] == 0 {
		delete(j.allocationsByZone, zone)
	}
	if j.allocations[index]--; j.allocations[index] > 0 {
		return false
	}
	delete(j.allocations, index)
	if j.NeedsTask(int(index)) {
		j.ready = append(j.ready, index)
	}
	return true
}

// AllocatedTasks returns the number of tasks that may be on a machine.
func (t *taskSet) AllocatedTasks() int { return len(t.allocations) }

// AllocationsOf returns the number of machines that may have the task.
func (t *taskSet) AllocationsOf(index int32) int { return int(t.allocations[index]) }

// RunningAttempts returns the number of attempts that were reported as running.
func (t *taskSet) RunningAttempts() int { return t.runningAttempts }

// AddRunningAttempt increments the number of running attempts.
func (t *taskSet) AddRunningAttempt() { t.runningAttempts++ }

// RemoveRunningAttempt decrements the number of running attempts.
func (t *taskSet) RemoveRunningAttempt() { t.runningAttempts-- }

// Progress returns the checkpointed run time of a task in seconds. Its next attempt needs that much
// less time.
func (t *taskSet) Progress(index int32) float64 { return t.progress[index] }

// TasksWithProgress returns the number of tasks with checkpointed progress.
func (t *taskSet) TasksWithProgress() int { return len(t.progress) }

// RecordProgress adds the progress of an attempt that ended after running for ranS seconds. If the
// attempt saved a checkpoint when it was stopped, all of that time counts, otherwise the time
// until its last periodic checkpoint.
func (j *Job) RecordProgress(index int32, ranS float64, checkpointSaved bool) {
	if j.CheckpointIntervalS <= 0 || j.IsCompleted(index) {
		return
	}
	if !checkpointSaved {
		ranS = math.Floor(ranS/j.CheckpointIntervalS) * j.CheckpointIntervalS
	}
	if ranS > 0 {
		if j.progress == nil {
			j.progress = map[int32]float64{}
		}
		j.progress[index] += ranS
	}
}
