package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// failureHistory tracks the failures of a job's tasks.
type failureHistory struct {
	failures int // since a task was done
	// failedOn are the machines where tasks have failed since one was done.
	failedOn     map[string]bool
	backOffUntil time.Time
}

// maxBackoffDoublings bounds the exponent of the delay after failures.
const maxBackoffDoublings = 10

// RecordFailure counts a failure and delays further tasks of the job exponentially.
func (h *failureHistory) RecordFailure(now time.Time) {
	h.failures++
	delay := tuning.FailureBackoffMin << min(h.failures-1, maxBackoffDoublings)
	h.backOffUntil = now.Add(min(delay, tuning.FailureBackoffMax))
}

// RecordFailureOn records the machine where a task has failed.
func (h *failureHistory) RecordFailureOn(machine string) {
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[machine] = true
}

// RecordSuccess resets the failures after a task is done: they were not the job's fault.
func (h *failureHistory) RecordSuccess() {
	h.failures = 0
	clear(h.failedOn)
}

// DelayUntil keeps tasks of the job from being placed before the given time. It never shortens
// a delay.
func (h *failureHistory) DelayUntil(until time.Time) {
	if until.After(h.backOffUntil) {
		h.backOffUntil = until
	}
}

// IsBackingOff reports whether no task of the job may be placed now.
func (h *failureHistory) IsBackingOff(now time.Time) bool { return now.Before(h.backOffUntil) }

// Failures returns the number of failures since a task was done.
func (h *failureHistory) Failures() int { return h.failures }

// FailedOn returns the machines where tasks have failed since one was done. The map is the
// job's own and must not be modified.
func (h *failureHistory) FailedOn() map[string]bool { return h.failedOn }

// FailsEverywhere reports whether the job itself seems to be at fault: its tasks have failed on
// FailsEverywhereMachines machines, and none is done.
func (j *Job) FailsEverywhere() bool {
	return len(j.failedOn) >= tuning.FailsEverywhereMachines && j.CompletedTasks() == 0
}
