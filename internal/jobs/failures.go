package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// failureHistory holds the failures of a job's tasks since a task last completed, and the time until
// which the placement of further tasks is delayed.
type failureHistory struct {
	failures     int             // since a task last completed
	failedOn     map[string]bool // IDs of the machines on which these failures occurred
	backOffUntil time.Time       // no task is placed before this time
}

// maxBackoffDoublings is the maximum number of times that the delay after a failure doubles.
const maxBackoffDoublings = 10

// CountFailure counts a failure of a task and delays the placement of further tasks. The delay doubles with
// each failure, up to FailureBackoffMax.
func (h *failureHistory) CountFailure(now time.Time) {
	h.failures++
	delay := tuning.FailureBackoffMin << min(h.failures-1, maxBackoffDoublings)
	h.backOffUntil = now.Add(min(delay, tuning.FailureBackoffMax))
}

// AddFailedOn adds the ID of a machine on which a task has failed to those that FailedOn returns.
func (h *failureHistory) AddFailedOn(machine string) {
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[machine] = true
}

// RecordSuccess resets the failures after a task has completed. The success shows that the job itself did
// not cause them.
func (h *failureHistory) RecordSuccess() {
	h.failures = 0
	clear(h.failedOn)
}

// DelayUntil prevents the placement of tasks before the given time. It never shortens an earlier
// delay.
func (h *failureHistory) DelayUntil(until time.Time) {
	if until.After(h.backOffUntil) {
		h.backOffUntil = until
	}
}

// IsBackingOff reports whether no task of the job may be placed now.
func (h *failureHistory) IsBackingOff(now time.Time) bool { return now.Before(h.backOffUntil) }

// Failures returns the number of failures since a task last completed.
func (h *failureHistory) Failures() int { return h.failures }

// FailedOn returns the IDs of the machines on which tasks have failed since a task last completed.
// Callers must not modify the map, which is the job's own.
func (h *failureHistory) FailedOn() map[string]bool { return h.failedOn }

// IsFaulty reports whether the job itself, rather than a machine, is considered the cause of the
// failures: no task has completed, and tasks have failed on at least tuning.FaultyJobMachines machines.
func (j *Job) IsFaulty() bool {
	return len(j.failedOn) >= tuning.FaultyJobMachines && j.CompletedTasks() == 0
}
