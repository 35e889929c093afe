package jobs

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/records"
)

// taskSet is the state of the tasks of a job.
type taskSet struct {
	completed         *intervals.Set
	storedCompletions *intervals.Set // completions known to be durable; nil if there are none
	unsavedChunks     map[int]bool   // chunks of completed that have to be written
	ready             []int32        // tasks to be placed; the last one is next
	allocations       map[int32]int8 // number of machines that may have a task
	allocationsByZone map[string]int // allocations by zone
	running           int
	// progress is the checkpointed run time, in seconds, of tasks that have to run again, as
	// far as it was reported in this term.
	progress map[int32]float64
	// lastPlacedAt is when a task of the job was last placed, or when the job started to wait.
	lastPlacedAt time.Time
	// firstStartAt and lastStartAt are when the first and the last task were placed in this
	// term, or zero.
	firstStartAt, lastStartAt time.Time
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

// MarkCompleted marks a task as completed and reports whether it was not before.
func (t *taskSet) MarkCompleted(index int32) bool { return t.completed.Add(int(index)) }

// MarkCompletionPending marks the completion of a task as still to be written.
func (t *taskSet) MarkCompletionPending(index int32, valueLimit int) {
	t.unsavedChunks[int(index)/records.CompletionChunkSize(valueLimit)] = true
}

// PopPendingCompletions returns the records of the completions to be written and clears their
// marks.
func (j *Job) PopPendingCompletions(valueLimit int) []records.Completions {
	list := make([]records.Completions, 0, len(j.unsavedChunks))
	for _, chunk := range slices.Sorted(maps.Keys(j.unsavedChunks)) {
		r := records.NewCompletions(j.ID, j.completed, chunk, valueLimit)
		j.AddRecordKey(r.Key)
		list = append(list, r)
	}
	clear(j.unsavedChunks)
	return list
}

// RestoreCompletion applies the stored completion of a task.
func (j *Job) RestoreCompletion(index int) {
	j.completed.Add(index)
	j.markStored(index)
}

// MarkCompletionsDurable records that completions are durable, so that their attempts may be discarded.
func (j *Job) MarkCompletionsDurable(c records.Completions) {
	// The ranges were formatted by the job itself and can't be malformed.
	_ = intervals.ParseEach(c.Tasks, j.Tasks, j.markStored)
}

func (j *Job) markStored(index int) {
	if j.storedCompletions == nil {
		j.storedCompletions = intervals.New(j.Tasks)
	}
	j.storedCompletions.Add(index)
}

// IsCompletionDurable reports whether the completion of a task is stored.
func (j *Job) IsCompletionDurable(index int32) bool {
	return j.endDurable || j.storedCompletions != nil && j.storedCompletions.Has(int(index))
}

// RebuildReadyTasks queues every task that has not completed and cannot be on a machine.
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

// PopReadyTask removes and returns the next task to be placed. There must be one.
func (t *taskSet) PopReadyTask(now time.Time) int32 {
	last := len(t.ready) - 1
	index := t.ready[last]
	t.ready = t.ready[:last]
	t.lastPlacedAt, t.lastStartAt = now, now
	if t.firstStartAt.IsZero() {
		t.firstStartAt = now
	}
	return index
}

// RemoveReadyTask removes a task from those to be placed, if it is one of them.
func (t *taskSet) RemoveReadyTask(index int32) {
	if i := slices.Index(t.ready, index); i >= 0 {
		t.ready = slices.Delete(t.ready, i, i+1)
	}
}

// SincePlacement returns the time since a task was last placed, or since the job started to
// wait.
func (t *taskSet) SincePlacement(now time.Time) time.Duration { return now.Sub(t.lastPlacedAt) }

// StartTimes returns when the first and the last task were placed in this term, or zero times.
func (t *taskSet) StartTimes() (first, last time.Time) { return t.firstStartAt, t.lastStartAt }

// Allocate counts one more machine, in the zone, that may have the task.
func (t *taskSet) Allocate(index int32, zone string) {
	t.allocationsByZone[zone]++
	t.allocations[index]++
}

// Release counts one machine less, in the zone, that may have the task. If none is left, the
// task is queued again if it still has to run, and the result is true.
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

// RunningTasks returns the number of attempts that are known to run.
func (t *taskSet) RunningTasks() int { return t.running }

// AddRunning increments the number of attempts that are known to run.
func (t *taskSet) AddRunning() { t.running++ }

// RemoveRunning decrements the number of attempts that are known to run.
func (t *taskSet) RemoveRunning() { t.running-- }

// Progress returns the run time in seconds that a task has checkpointed for its next attempt.
func (t *taskSet) Progress(index int32) float64 { return t.progress[index] }

// InterruptedTasks returns the number of tasks with checkpointed progress.
func (t *taskSet) InterruptedTasks() int { return len(t.progress) }

// RecordProgress adds the progress of an attempt that ended after running for ranS seconds: all
// of it if a checkpoint was saved when the attempt was stopped, otherwise up to its last
// periodic checkpoint.
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
