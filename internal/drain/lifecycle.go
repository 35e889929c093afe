package drain

import (
	"slices"
	"strings"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// pastDeadline reports whether the drain has a deadline that has passed.
func (r *Record) pastDeadline(now time.Time) bool {
	return r.Spec.Deadline != nil && now.After(*r.Spec.Deadline)
}

// IsForced reports whether the drain may evict tasks without an alternative: it has Force set and its
// deadline has passed.
func (r *Record) IsForced(now time.Time) bool { return r.Spec.Force && r.pastDeadline(now) }

// SetWaitReason records why the drain waits. If the drain's deadline has passed, it also pauses the
// drain, unless Force is set or the wait ends by itself (see endsByItself). It reports whether it
// paused the drain. now is the wall-clock time.
func (r *Record) SetWaitReason(now time.Time, reason Reason) bool {
	if r.pastDeadline(now) && !r.Spec.Force && !reason.Cause.endsByItself() {
		reason.DeadlinePassed = true
		return r.Pause(reason)
	}
	r.Reason = reason
	return false
}

// Pause pauses the drain unless it is paused already or has ended. It reports whether it changed
// the state.
func (r *Record) Pause(reason Reason) bool {
	if r.State == Paused || r.State.IsTerminal() {
		return false
	}
	r.State, r.Reason = Paused, reason
	return true
}

// Resume makes a paused drain pending again and restarts the waiting times of its batch. now is the
// wall-clock time.
func (r *Record) Resume(now time.Time) {
	if r.State != Paused {
		return
	}
	r.State, r.Reason = Pending, Reason{}
	if r.Batch != nil {
		r.Batch.WaitingSinceMS = now.UnixMilli()
	}
}

// Cancel cancels the drain. A cancelled drain cordons no machine and blocks no provisioning.
func (r *Record) Cancel() {
	r.State, r.Reason, r.Batch = Cancelled, Reason{}, nil
}

// HasExecuted reports whether the request with the ID has changed the drain. Only the last
// tuning.MaxExecutedDrainRequests requests are known.
func (r *Record) HasExecuted(requestID string) bool {
	return requestID != "" && slices.Contains(r.ExecutedRequests, requestID)
}

// MarkExecuted records that the request with the ID has changed the drain. It ignores an empty ID.
func (r *Record) MarkExecuted(requestID string) {
	if requestID == "" {
		return
	}
	kept := append(slices.Clone(r.ExecutedRequests), requestID)
	r.ExecutedRequests = kept[max(0, len(kept)-tuning.MaxExecutedDrainRequests):]
}

// Compare orders drains by creation time, then by name.
func (r *Record) Compare(other *Record) int {
	if r.CreatedMS != other.CreatedMS {
		return int(max(-1, min(1, r.CreatedMS-other.CreatedMS)))
	}
	return strings.Compare(r.Spec.Name, other.Spec.Name)
}

// EnsureRunning returns the running drain. If there is none, it starts the oldest pending drain,
// returns that one, and sets started. It returns nil if no drain is running or pending. It sorts
// the records in place.
func EnsureRunning(records []*Record) (r *Record, started bool) {
	slices.SortFunc(records, (*Record).Compare)
	for _, r := range records {
		if r.State == Running {
			return r, false
		}
	}
	for _, r := range records {
		if r.State == Pending {
			r.State = Running
			return r, true
		}
	}
	return nil, false
}
