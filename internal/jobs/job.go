// Package jobs holds what is known of the jobs of a term: their tasks, states and final states,
// what they depend on, and estimates of their run times. It reads no clock and does no I/O.
package jobs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/intervals"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// Job is an accepted submission, or one that is being accepted, with what is known of its
// tasks. The embedded submission never changes.
type Job struct {
	wire.Job
	request       placement.Resources // of one task
	submittedAtMS int64               // time of day
	submittedAt   time.Time
	// waitingSince is when its waits begin: when it was submitted, or the last job
	// that it depends on was done.
	waitingSince time.Time
	lifecycle
	taskSet
	failureHistory
	dependencyState
	// recordKeys are the stored records of the job beside its own.
	recordKeys map[string]bool
	waiters    []func(decided bool) // called when the acceptance or the end is durable
}

// New returns a job that is being accepted. It was submitted at the time of day submittedAtMS,
// which is submittedAt on the steady clock.
func New(spec wire.Job, submittedAtMS int64, submittedAt time.Time) *Job {
	j := &Job{
		Job:           spec,
		request:       placement.TaskRequest(&spec),
		submittedAtMS: submittedAtMS,
		submittedAt:   submittedAt,
		waitingSince:  submittedAt,
		taskSet: taskSet{
			completed:         intervals.New(spec.Tasks),
			unsavedChunks:     map[int]bool{},
			allocations:       map[int32]int8{},
			allocationsByZone: map[string]int{},
			lastPlacedAt:      submittedAt,
		},
		recordKeys: map[string]bool{},
	}
	j.priorityRank, j.criticalPath = j.standalonePath()
	return j
}

// Restore returns a job whose acceptance is stored.
func Restore(stored *records.StoredJob, submittedAt time.Time) *Job {
	j := New(stored.Job, stored.SubmittedAtMS, submittedAt)
	j.MarkAccepted()
	for _, key := range stored.PieceKeys {
		j.AddRecordKey(key)
	}
	return j
}

// Request is what one task of the job takes of a machine.
func (j *Job) Request() placement.Resources { return j.request }

// SubmittedAtMS is the time of day of the submission, in milliseconds.
func (j *Job) SubmittedAtMS() int64 { return j.submittedAtMS }

// SubmittedAt is when the job was submitted, on the steady clock.
func (j *Job) SubmittedAt() time.Time { return j.submittedAt }

// WaitingSince is when the job was submitted, or the last job that it depends on was done.
func (j *Job) WaitingSince() time.Time { return j.waitingSince }

// BeginWaiting lets the waits of the job begin now.
func (j *Job) BeginWaiting(now time.Time) { j.waitingSince, j.lastPlacedAt = now, now }

// Constraints is where tasks of the job may be, to the placement rule. TasksInZone is the job's own
// map: it must not be modified.
func (j *Job) Constraints() *placement.PendingJob {
	return &placement.PendingJob{
		MachineTypes: j.MachineTypes, Zone: j.Zone, OneZone: j.OneZone, SpreadZones: j.SpreadZones,
		Spot: j.Spot, Request: j.request, TotalTasks: j.Tasks, TasksInZone: j.allocationsByZone,
	}
}

// AddRecordKey notes a stored record of the job beside its own.
func (j *Job) AddRecordKey(key string) { j.recordKeys[key] = true }

// RecordKeys returns the keys of the stored records of the job beside its own, sorted.
func (j *Job) RecordKeys() []string { return slices.Sorted(maps.Keys(j.recordKeys)) }

// AddWaiter has f called when the job's acceptance or end is durable, or, with decided false,
// when the term is over and neither is decided.
func (j *Job) AddWaiter(f func(decided bool)) { j.waiters = append(j.waiters, f) }

// NotifyWaiters answers all who wait for the job's acceptance or end.
func (j *Job) NotifyWaiters(decided bool) {
	for _, notify := range j.waiters {
		notify(decided)
	}
	j.waiters = nil
}

// SortByID sorts jobs by their IDs.
func SortByID(list []*Job) {
	slices.SortFunc(list, func(a, b *Job) int { return strings.Compare(a.ID, b.ID) })
}
