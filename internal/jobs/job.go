// Package jobs keeps the state of the jobs in a leadership term: their tasks, lifecycle and
// final states, their dependencies, and estimates of their run times. It reads no clock and
// does no I/O.
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

// Job is a submission, accepted or being accepted, with the state of its tasks. The embedded
// submission never changes.
type Job struct {
	wire.Job
	request       placement.Resources // of one task
	submittedAtMS int64               // wall clock
	submittedAt   time.Time
	// waitingSince is when the job started to wait for placement: at its submission, or when
	// its last dependency was done.
	waitingSince time.Time
	lifecycle
	taskSet
	failureHistory
	dependencyState
	// recordKeys are the keys of the job's stored records other than its job record.
	recordKeys map[string]bool
	waiters    []func(decided bool) // called when the acceptance or the end is durable
}

// New returns a job in state Accepting. submittedAtMS and submittedAt are the time of its
// submission on the wall clock and on the monotonic clock.
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

// Restore returns a job from its stored record. Its acceptance is durable.
func Restore(stored *records.StoredJob, submittedAt time.Time) *Job {
	j := New(stored.Job, stored.SubmittedAtMS, submittedAt)
	j.MarkAccepted()
	for _, key := range stored.PieceKeys {
		j.AddRecordKey(key)
	}
	return j
}

// Request returns the resources that one task of the job requests.
func (j *Job) Request() placement.Resources { return j.request }

// SubmittedAtMS returns the wall-clock time of the submission in milliseconds.
func (j *Job) SubmittedAtMS() int64 { return j.submittedAtMS }

// SubmittedAt returns the time of the submission on the monotonic clock.
func (j *Job) SubmittedAt() time.Time { return j.submittedAt }

// WaitingSince returns when the job started to wait for placement: at its submission, or when
// its last dependency was done.
func (j *Job) WaitingSince() time.Time { return j.waitingSince }

// BeginWaiting restarts the waiting time of the job at now.
func (j *Job) BeginWaiting(now time.Time) { j.waitingSince, j.lastPlacedAt = now, now }

// Constraints returns where tasks of the job may be placed. TasksInZone is the job's own map
// and must not be modified.
func (j *Job) Constraints() *placement.PendingJob {
	return &placement.PendingJob{
		MachineTypes: j.MachineTypes, Zone: j.Zone, OneZone: j.OneZone, SpreadZones: j.SpreadZones,
		AllowsSpot: j.Spot, Request: j.request, TotalTasks: j.Tasks, TasksByZone: j.allocationsByZone,
	}
}

// AddRecordKey registers a stored record of the job other than its job record.
func (j *Job) AddRecordKey(key string) { j.recordKeys[key] = true }

// RecordKeys returns the sorted keys of the job's stored records other than its job record.
func (j *Job) RecordKeys() []string { return slices.Sorted(maps.Keys(j.recordKeys)) }

// AddWaiter registers f to be called with decided true when the job's acceptance or end is
// durable, or with false if the term ends before that.
func (j *Job) AddWaiter(f func(decided bool)) { j.waiters = append(j.waiters, f) }

// NotifyWaiters calls and removes all registered waiters.
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
