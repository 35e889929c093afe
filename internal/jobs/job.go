// Package jobs holds what is known of the jobs of a term: their tasks, states and outcomes,
// what they depend on, and estimates of their run times. It reads no clock and does no I/O.
package jobs

import (
	"math"
	"slices"
	"sort"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Job is an accepted submission, or one that is being accepted, and what is known of its tasks.
type Job struct {
	wire.Job
	SubmittedAtMS int64 // submission, time of day in milliseconds
	Submitted     time.Time
	// WaitingSince is when its waits begin: when it was submitted, or the last job
	// that it needs was done.
	WaitingSince time.Time
	// PriorityRank is its priority, or that of a job that needs it, if higher.
	PriorityRank     int
	Path             CriticalPath
	State            State
	EndedAt          time.Time // when its end was decided, in this term
	OpenDependencies int       // jobs that it needs and that are not over
	// DependencyCancelled: a job that it needs was cancelled, and so will it be.
	DependencyCancelled bool
	Cyclic              bool // its path can't be derived: damaged records lead in a circle
	PathScheduled       bool // among those to be reweighed
	AcceptanceDurable   bool // the acceptance is durable
	EndDurable          bool // the final state is durable
	Completed           *intervals.Set
	StoredCompletions   *intervals.Set // completions known to be stored
	Ready               []int32        // tasks to be placed, last first
	Allocations         map[int32]int8
	AllocatedTasks      int // tasks that may be on a machine
	Running             int
	InZone              map[string]int
	Request             placement.Resources

	// Progress is what tasks that are to run again have saved, in seconds, as
	// far as this term has seen it.
	Progress map[int32]float64

	Failures int
	// FailedOn are the machines where tasks have failed since one was done.
	FailedOn     map[string]bool
	BackOffUntil time.Time
	// LastPlacedAt is when a task of the job was last placed, or when the job came.
	LastPlacedAt time.Time
	// FirstStartAt and LastStartAt are when the first and the last task were placed in
	// this term, zero before.
	FirstStartAt, LastStartAt time.Time
	Waiters                   []func(ok bool) // told when the acceptance is durable
	UnsavedChunks             map[int]bool    // parts of the done-set to be written
	// RecordKeys are the records of the job beside its own.
	RecordKeys map[string]bool
}

// New returns a job that was submitted at the time of day at, in milliseconds, which is since
// on the steady clock.
func New(spec wire.Job, at int64, since time.Time) *Job {
	j := &Job{
		Job:           spec,
		SubmittedAtMS: at,
		Submitted:     since,
		WaitingSince:  since,
		LastPlacedAt:  since,
		Completed:     intervals.New(spec.Tasks),
		Allocations:   map[int32]int8{},
		InZone:        map[string]int{},
		UnsavedChunks: map[int]bool{},
		RecordKeys:    map[string]bool{},
		Request:       placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
	}
	j.PriorityRank, j.Path = j.StandalonePath()
	return j
}

// NeedsTask reports whether a task of the job is still to run.
func (j *Job) NeedsTask(index int) bool { return j.State == Active && !j.Completed.Has(index) }

// FillReady queues every task that is neither done nor maybe on a machine.
func (j *Job) FillReady() {
	j.Ready = j.Ready[:0]
	for i := j.Tasks - 1; i >= 0; i-- {
		if !j.Completed.Has(i) && j.Allocations[int32(i)] == 0 {
			j.Ready = append(j.Ready, int32(i))
		}
	}
}

// RemoveReady takes a task out of those to be placed.
func (j *Job) RemoveReady(index int32) {
	if i := slices.Index(j.Ready, index); i >= 0 {
		j.Ready = slices.Delete(j.Ready, i, i+1)
	}
}

// Undecided reports whether a job's state can't be told now: its acceptance is
// not durable, so whether it exists is not decided, or it is being cancelled
// together with one that it needs. However long that takes to become durable,
// nobody hears any more that the job waits or runs.
func (j *Job) Undecided() bool { return !j.AcceptanceDurable || j.DependencyCancelled && !j.EndDurable }

// NotifyWaiters answers all who wait for the job's acceptance or end; ok is false if the
// term is over and nothing is decided.
func (j *Job) NotifyWaiters(ok bool) {
	for _, tell := range j.Waiters {
		tell(ok)
	}
	j.Waiters = nil
}

// SortByID sorts jobs by their IDs.
func SortByID(js []*Job) {
	sort.Slice(js, func(i, k int) bool { return js[i].ID < js[k].ID })
}

// IsCompletionStored reports whether the completion of a task is stored.
func (j *Job) IsCompletionStored(index int32) bool {
	return j.EndDurable || j.StoredCompletions != nil && j.StoredCompletions.Has(int(index))
}

// FailsEverywhere reports whether the job seems to fail everywhere.
func (j *Job) FailsEverywhere() bool {
	return len(j.FailedOn) >= tuning.FailsEverywhereMachines && j.Completed.Len() == 0
}

// Constraints is where tasks of the job may be, to the placement rule.
func (j *Job) Constraints() *placement.PendingJob {
	return &placement.PendingJob{
		MachineTypes: j.MachineTypes, Zone: j.Zone, OneZone: j.OneZone, SpreadZones: j.SpreadZones,
		Spot: j.Spot, Request: j.Request, TotalTasks: j.Tasks, TasksInZone: j.InZone,
	}
}

// RecordFailure makes a job with failing tasks back off.
func (j *Job) RecordFailure(now time.Time) {
	j.Failures++
	d := tuning.FailureBackoffMin << min(j.Failures-1, 10)
	if d > tuning.FailureBackoffMax {
		d = tuning.FailureBackoffMax
	}
	j.BackOffUntil = now.Add(d)
}

// DelayUntil places no task of the job before the given time.
func (j *Job) DelayUntil(until time.Time) {
	if until.After(j.BackOffUntil) {
		j.BackOffUntil = until
	}
}

// RecordProgress notes the progress saved by an attempt that has ended after running for
// ranS seconds: by itself at every interval, and when it was stopped with time to save.
func (j *Job) RecordProgress(index int32, ranS float64, checkpointSaved bool) {
	if j.CheckpointIntervalS <= 0 || j.Completed.Has(int(index)) {
		return
	}
	if !checkpointSaved {
		ranS = math.Floor(ranS/j.CheckpointIntervalS) * j.CheckpointIntervalS
	}
	if ranS > 0 {
		if j.Progress == nil {
			j.Progress = map[int32]float64{}
		}
		j.Progress[index] += ranS
	}
}
