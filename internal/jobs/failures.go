package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// failureHistory tracks the failures of a job's tasks since one was last done, and until when the
// placement of further tasks is delayed.
type failureHistory struct {
	failures     int             // number of failures
	failedOn     map[string]bool // IDs of the machines on which tasks have failed
	backOffUntil time.Time       // no task is placed before this time
}

// maxBackoffDoublings is the maximum number of times that the delay after a failure doubles.
const maxBackoffDoublings = 10

// RecordFailure counts a failure and delays the placement of further tasks. The delay doubles with
// each failure, up to FailureBackoffMax.
func (h *failureHistory) RecordFailure(now time.Time) {
	h.failures++
	delay := tuning.FailureBackoffMin << min(h.failures-1, maxBackoffDoublings)
	h.backOffUntil = now.Add(min(delay, tuning.FailureBackoffMax))
}

// RecordFailureOn records the ID of a machine on which a task has failed.
func (h *failureHistory) RecordFailureOn(machine string) {
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[machine] = true
}

// RecordSuccess forgets the failures after a task is done, which shows that the job itself was not
// at fault.
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

// Failures returns the number of failures since a task was last done.
func (h *failureHistory) Failures() int { return h.failures }

// FailedOn returns the IDs of the machines on which tasks have failed since one was last done.
// Callers must not modify the map, which is the job's own.
func (h *failureHistory) FailedOn() map[string]bool { return h.failedOn }

// FailsEverywhere reports whether the job itself, rather than a machine, is taken to be at fault:
// no task is done, and tasks have failed on at least tuning.FailsEverywhereMachines machines.
func (j *Job) FailsEverywhere() bool {
	return len(j.failedOn) >= tuning.FaultyJobMachines && j.CompletedTasks() == 0
}
