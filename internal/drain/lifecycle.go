package drain

import (
	"slices"
	"strings"
	"time"
)

// pastDeadline reports whether the deadline, if there is one, has passed.
func (r *Record) pastDeadline(now time.Time) bool {
	return r.Spec.Deadline != nil && now.After(*r.Spec.Deadline)
}

// IsForced reports whether the drain also evicts tasks that can run nowhere else: it has Force set
// and its deadline has passed.
func (r *Record) IsForced(now time.Time) bool { return r.Spec.Force && r.pastDeadline(now) }

// SetWaitReason records why the drain makes no progress. It pauses a drain whose deadline has
// passed, unless the drain has Force set or the wait is part of its progress, and reports whether
// it did so.
func (r *Record) SetWaitReason(now time.Time, reason Reason) bool {
	if r.pastDeadline(now) && !r.Spec.Force && !reason.Cause.endsByItself() {
		reason.Deadline = true
		return r.Pause(reason)
	}
	r.Reason = reason
	return false
}

// Pause pauses the drain unless it is paused or has ended. It reports whether the record changed.
func (r *Record) Pause(reason Reason) bool {
	if r.State == Paused || r.State.IsTerminal() {
		return false
	}
	r.State, r.Reason = Paused, reason
	return true
}

// Resume makes a paused drain pending again. The waiting times of its batch start anew.
func (r *Record) Resume(now time.Time) {
	if r.State != Paused {
		return
	}
	r.State, r.Reason = Pending, Reason{}
	if r.Batch != nil {
		r.Batch.SinceMS = now.UnixMilli()
	}
}

// Cancel cancels the drain. It then cordons no machine and blocks no provisioning.
func (r *Record) Cancel() {
	r.State, r.Reason, r.Batch = Cancelled, Reason{}, nil
}

// Compare orders drains by creation time, then by name.
func (r *Record) Compare(other *Record) int {
	if r.CreatedMS != other.CreatedMS {
		return int(max(-1, min(1, r.CreatedMS-other.CreatedMS)))
	}
	return strings.Compare(r.Spec.Name, other.Spec.Name)
}

// EnsureRunning returns the running drain. If there is none, it sets the oldest pending drain running,
// returns it and reports a changed record. It sorts the records in place.
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
