package jobs

import (
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// failureHistory is what is known of the failures of a job's tasks.
type failureHistory struct {
	failures int // since a task was done
	// failedOn are the machines where tasks have failed since one was done.
	failedOn     map[string]bool
	backOffUntil time.Time
}

// maxBackoffDoublings bounds the growth of the delay after a failure.
const maxBackoffDoublings = 10

// RecordFailure makes a job with failing tasks back off.
func (h *failureHistory) RecordFailure(now time.Time) {
	h.failures++
	delay := tuning.FailureBackoffMin << min(h.failures-1, maxBackoffDoublings)
	h.backOffUntil = now.Add(min(delay, tuning.FailureBackoffMax))
}

// RecordFailureOn notes the machine where a task has failed.
func (h *failureHistory) RecordFailureOn(machine string) {
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[machine] = true
}

// RecordSuccess notes that a task is done: what has failed before was not the job's fault.
func (h *failureHistory) RecordSuccess() {
	h.failures = 0
	clear(h.failedOn)
}

// DelayUntil places no task of the job before the given time.
func (h *failureHistory) DelayUntil(until time.Time) {
	if until.After(h.backOffUntil) {
		h.backOffUntil = until
	}
}

// IsBackingOff reports whether no task of the job is to be placed now.
func (h *failureHistory) IsBackingOff(now time.Time) bool { return now.Before(h.backOffUntil) }

// Failures is the number of failures since a task was done.
func (h *failureHistory) Failures() int { return h.failures }

// FailedOn are the machines where tasks have failed since one was done. The map is the job's
// own: it must not be modified.
func (h *failureHistory) FailedOn() map[string]bool { return h.failedOn }

// FailsEverywhere reports whether the job seems to fail everywhere.
func (j *Job) FailsEverywhere() bool {
	return len(j.failedOn) >= tuning.FailsEverywhereMachines && j.CompletedTasks() == 0
}
