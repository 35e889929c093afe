package jobs

import (
	"maps"
	"math"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/records"
)

// taskSet is what is known of the tasks of a job.
type taskSet struct {
	completed         *intervals.Set
	storedCompletions *intervals.Set // completions known to be stored; nil for none
	unsavedChunks     map[int]bool   // parts of completed that are to be written
	ready             []int32        // tasks to be placed, last first
	allocations       map[int32]int8 // machines that may have a task
	allocationsByZone map[string]int // allocations by zone
	running           int
	// progress is what tasks that are to run again have saved, in seconds, as
	// far as this term has seen it.
	progress map[int32]float64
	// lastPlacedAt is when a task of the job was last placed, or when its waits began.
	lastPlacedAt time.Time
	// firstStartAt and lastStartAt are when the first and the last task were placed in
	// this term, zero before.
	firstStartAt, lastStartAt time.Time
}

// NeedsTask reports whether a task of the job is still to run.
func (j *Job) NeedsTask(index int) bool { return j.state == Active && !j.completed.Has(index) }

// IsCompleted reports whether a task has completed.
func (t *taskSet) IsCompleted(index int32) bool { return t.completed.Has(int(index)) }

// CompletedTasks is the number of tasks that have completed.
func (t *taskSet) CompletedTasks() int { return t.completed.Len() }

// AllCompleted reports whether all tasks have completed.
func (t *taskSet) AllCompleted() bool { return t.completed.Full() }

// RemainingTasks is the number of tasks that have not completed.
func (j *Job) RemainingTasks() int { return j.Tasks - j.completed.Len() }

// Complete notes that a task has completed, and reports whether that is new.
func (t *taskSet) Complete(index int32) bool { return t.completed.Add(int(index)) }

// MarkCompletionUnsaved notes that the completion of a task is to be written.
func (t *taskSet) MarkCompletionUnsaved(index int32, valueLimit int) {
	t.unsavedChunks[int(index)/records.CompletionChunkSize(valueLimit)] = true
}

// PopUnsavedCompletions returns the records of the completions that are to be written.
func (j *Job) PopUnsavedCompletions(valueLimit int) []records.Completions {
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

// MarkStored notes that completions are stored: the attempts may be forgotten.
func (j *Job) MarkStored(c records.Completions) {
	// The ranges were formatted by the job itself and can't be malformed.
	_ = intervals.ParseEach(c.Tasks, j.Tasks, j.markStored)
}

func (j *Job) markStored(index int) {
	if j.storedCompletions == nil {
		j.storedCompletions = intervals.New(j.Tasks)
	}
	j.storedCompletions.Add(index)
}

// IsCompletionStored reports whether the completion of a task is stored.
func (j *Job) IsCompletionStored(index int32) bool {
	return j.endDurable || j.storedCompletions != nil && j.storedCompletions.Has(int(index))
}

// RebuildReadyTasks queues every task that is neither done nor maybe on a machine.
func (j *Job) RebuildReadyTasks() {
	j.ready = j.ready[:0]
	for i := int32(j.Tasks) - 1; i >= 0; i-- {
		if !j.IsCompleted(i) && j.allocations[i] == 0 {
			j.ready = append(j.ready, i)
		}
	}
}

// ReadyTasks is the number of tasks to be placed.
func (t *taskSet) ReadyTasks() int { return len(t.ready) }

// PopReadyTask takes the next of the tasks to be placed, of which there must be one.
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

// RemoveReadyTask takes a task out of those to be placed.
func (t *taskSet) RemoveReadyTask(index int32) {
	if i := slices.Index(t.ready, index); i >= 0 {
		t.ready = slices.Delete(t.ready, i, i+1)
	}
}

// SincePlacement is the time since a task was last placed, or since the waits of the job began.
func (t *taskSet) SincePlacement(now time.Time) time.Duration { return now.Sub(t.lastPlacedAt) }

// StartTimes are when the first and the last task were placed in this term, zero before.
func (t *taskSet) StartTimes() (first, last time.Time) { return t.firstStartAt, t.lastStartAt }

// Allocate counts a machine in the zone that may have the task.
func (t *taskSet) Allocate(index int32, zone string) {
	t.allocationsByZone[zone]++
	t.allocations[index]++
}

// Release counts a machine in the zone less that may have the task. If there is none left the
// task is queued again if it is still to run, and the result is true.
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

// AllocatedTasks is the number of tasks that may be on a machine.
func (t *taskSet) AllocatedTasks() int { return len(t.allocations) }

// AllocationsOf is the number of machines that may have the task.
func (t *taskSet) AllocationsOf(index int32) int { return int(t.allocations[index]) }

// RunningTasks is the number of attempts that are known to run.
func (t *taskSet) RunningTasks() int { return t.running }

// AddRunning counts one attempt more that is known to run.
func (t *taskSet) AddRunning() { t.running++ }

// RemoveRunning counts one attempt less that is known to run.
func (t *taskSet) RemoveRunning() { t.running-- }

// Progress is the run time in seconds that a task has saved for its next attempt.
func (t *taskSet) Progress(index int32) float64 { return t.progress[index] }

// InterruptedTasks is the number of tasks that have saved progress for a next attempt.
func (t *taskSet) InterruptedTasks() int { return len(t.progress) }

// RecordProgress notes the progress saved by an attempt that has ended after running for
// ranS seconds: by itself at every interval, and when it was stopped with time to save.
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
