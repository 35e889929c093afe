package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/tuning"
)

// drainStep is the state of one drainStep of the running drain.
type drainStep struct {
	d         *Drainer
	record    *storedDrain
	now, wall time.Time
	// hasAlternativeByJob caches whether a task of the job could run on machines that are not drained.
	hasAlternativeByJob map[*jobs.Job]bool
}

// Advance carries out the next step of the running drain, at most one in each
// DrainStepInterval; wall is the wall-clock time. Only a leader that may act calls it.
func (d *Drainer) Advance(now, wall time.Time) {
	if d.config.Budgets == nil || now.Before(d.nextStepAt) {
		return
	}
	d.nextStepAt = now.Add(tuning.DrainStepInterval)
	d.expireCharges(wall)
	r, started := drain.EnsureRunning(d.sortedRecords())
	if r == nil {
		return
	}
	s := &drainStep{d: d, record: d.drains[r.Spec.Name], now: now, wall: wall, hasAlternativeByJob: map[*jobs.Job]bool{}}
	if !s.record.durable {
		return
	}
	if started {
		d.log.Info().Str("drain", r.Spec.Name).Msg("drain started")
		d.storeDrain(s.record, nil)
	}
	s.advance()
}

// advance starts a batch if there is none, waits for the replacements of a batch that is not
// cordoned, or evicts tasks of a cordoned one.
func (s *drainStep) advance() {
	if s.record.Batch == nil {
		s.beginBatch()
		return
	}
	s.removeReleased()
	switch {
	case s.record.Batch == nil:
	case s.record.Batch.Cordoned:
		s.evict()
	default:
		s.cordonOnceReplaced()
	}
}

// setWaitReason records why the drain makes no progress. If that pauses the drain as its
// deadline has passed, the pause is logged and stored.
func (s *drainStep) setWaitReason(cause drain.Cause, team string) {
	if s.record.SetWaitReason(s.wall, drain.Reason{Cause: cause, Team: team}) {
		s.logAndStorePaused()
	}
}

// logAndStorePaused logs and stores that the drain was paused.
func (s *drainStep) logAndStorePaused() {
	s.d.log.Info().Str("drain", s.record.Spec.Name).Stringer("reason", s.record.Reason).Msg("drain paused")
	s.d.storeDrain(s.record, nil)
}
