// Package jobs holds the in-memory state of jobs during a leadership term: their tasks,
// lifecycle, final states and dependencies, and estimates of their run times. It reads no clock
// and does no I/O.
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

// Job is a submitted job with its state in this term. The embedded wire.Job is the submission
// and never changes.
type Job struct {
	wire.Job
	request       placement.Resources // for one task
	submittedAtMS int64               // wall-clock time
	submittedAt   time.Time           // monotonic clock
	// waitingSince is when the job could first be placed: at its submission, or when the last
	// of its dependencies was done.
	waitingSince time.Time
	lifecycle
	taskSet
	failureHistory
	dependencyState
	// recordKeys are the keys of the job's stored records other than its job record, such as
	// those of its completions.
	recordKeys map[string]bool
	waiters    []func(decided bool) // see AddWaiter
}

// New returns a job in state Accepting. submittedAtMS and submittedAt are the time of its
// submission as wall-clock time and on the monotonic clock.
func New(spec wire.Job, submittedAtMS int64, submittedAt time.Time) *Job {
	j := &Job{
		Job:           spec,
		request:       placement.TaskRequest(&spec),
		submittedAtMS: submittedAtMS,
		submittedAt:   submittedAt,
		waitingSince:  submittedAt,
		taskSet: taskSet{
			completed:                intervals.New(spec.Tasks),
			pendingChunks:            map[int]bool{},
			allocations:              map[int32]int8{},
			allocationsByZone:        map[string]int{},
			waitingForPlacementSince: submittedAt,
		},
		recordKeys: map[string]bool{},
	}
	j.priorityRank, j.criticalPath = j.standalonePath()
	return j
}

// Restore returns an accepted job from its stored record.
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

// WaitingSince returns when the job could first be placed: at its submission, or when the last
// of its dependencies was done.
func (j *Job) WaitingSince() time.Time { return j.waitingSince }

// BeginWaiting records that the job can be placed from now on, which restarts its waiting time.
func (j *Job) BeginWaiting(now time.Time) { j.waitingSince, j.waitingForPlacementSince = now, now }

// PlacementConstraints returns a pending job with only the fields that decide where a task of the
// job may be placed. Callers must not modify TasksByZone, which is the job's own map.
func (j *Job) PlacementConstraints() *placement.PendingJob {
	return &placement.PendingJob{
		JobID: j.ID, MachineTypes: j.MachineTypes, Zone: j.Zone, OneZone: j.OneZone, SpreadZones: j.SpreadZones,
		AllowsSpot: j.Spot, Request: j.request, TotalTasks: j.Tasks, TasksByZone: j.allocationsByZone,
	}
}

// AddRecordKey adds the key of a stored record of the job other than its job record. The record is
// deleted together with the job record.
func (j *Job) AddRecordKey(key string) { j.recordKeys[key] = true }

// RecordKeys returns the sorted keys of the job's stored records other than its job record.
func (j *Job) RecordKeys() []string { return slices.Sorted(maps.Keys(j.recordKeys)) }

// AddWaiter registers f, which is called once: with decided true when the job's acceptance or
// final state is durable, or with false if the term ends first.
func (j *Job) AddWaiter(f func(decided bool)) { j.waiters = append(j.waiters, f) }

// NotifyWaiters calls all registered waiters and removes them.
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
