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

// Forced reports whether tasks that can run nowhere else are evicted.
func (r *Record) Forced(now time.Time) bool { return r.Spec.Force && r.pastDeadline(now) }

// SetWaitReason records why the drain makes no progress. Past its deadline it is paused, unless it is
// forced or the wait is part of its progress. It reports whether the drain was paused.
func (r *Record) SetWaitReason(now time.Time, reason Reason) bool {
	if r.pastDeadline(now) && !r.Spec.Force && !reason.Cause.isProgress() {
		reason.Deadline = true
		return r.Pause(reason)
	}
	r.Reason = reason
	return false
}

// Pause pauses the drain unless it has ended. It reports whether the record has changed.
func (r *Record) Pause(reason Reason) bool {
	if r.State == Paused || r.State.IsTerminal() {
		return false
	}
	r.State, r.Reason = Paused, reason
	return true
}

// Resume makes a paused drain pending.
func (r *Record) Resume(now time.Time) {
	if r.State != Paused {
		return
	}
	r.State, r.Reason = Pending, Reason{}
	if r.Batch != nil {
		r.Batch.SinceMS = now.UnixMilli()
	}
}

// Cancel ends a drain: what it has cordoned is schedulable again.
func (r *Record) Cancel() {
	r.State, r.Reason, r.Batch = Cancelled, Reason{}, nil
}

// Compare orders drains by creation.
func (r *Record) Compare(other *Record) int {
	if r.CreatedMS != other.CreatedMS {
		return int(max(-1, min(1, r.CreatedMS-other.CreatedMS)))
	}
	return strings.Compare(r.Spec.Name, other.Spec.Name)
}

// Next returns the drain that runs now: the running one, or else the oldest pending one, which
// it sets running. It reports whether that has changed a record. The records are sorted.
func Next(records []*Record) (r *Record, changed bool) {
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
