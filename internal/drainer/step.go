package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/tuning"
)

// drainStep is the state of one step of the running drain. now and wall are the same moment on the
// monotonic clock and as wall-clock time.
type drainStep struct {
	d         *Drainer
	record    *storedDrain
	now, wall time.Time
	// hasAlternativeByJob caches the results of hasAlternative.
	hasAlternativeByJob map[*jobs.Job]bool
}

// Advance runs the next step of the running drain, at most once per DrainStepInterval, and starts a
// pending drain if none is running. It must be called only while the leader has authority. wall is the
// wall-clock time.
func (d *Drainer) Advance(now, wall time.Time) {
	if d.config.Budgets == nil || now.Before(d.nextStepAt) {
		return
	}
	d.nextStepAt = now.Add(tuning.DrainStepInterval)
	d.deleteOldCharges(wall)
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

// advance starts a batch if there is none, evicts tasks if the batch is cordoned, and otherwise cordons
// the batch once its replacements are ready.
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

// setWaitReason records why the drain waits. If that pauses the drain because its deadline has passed,
// setWaitReason logs and stores the pause.
func (s *drainStep) setWaitReason(cause drain.Cause, team string) {
	if s.record.SetWaitReason(s.wall, drain.Reason{Cause: cause, Team: team}) {
		s.logAndStorePaused()
	}
}

// logAndStorePaused logs that the drain was paused and stores its record.
func (s *drainStep) logAndStorePaused() {
	s.d.log.Info().Str("drain", s.record.Spec.Name).Stringer("reason", s.record.Reason).Msg("drain paused")
	s.d.storeDrain(s.record, nil)
}
