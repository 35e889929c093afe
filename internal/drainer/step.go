package drainer

import (
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/tuning"
)

// step is one step of the running drain.
type step struct {
	d         *Drainer
	record    *storedDrain
	now, wall time.Time
	places    map[*jobs.Job]bool // whether tasks of the job have another place
}

// Advance takes the next step of the drain that runs; wall is the time of day. Only a leader
// that may act calls it.
func (d *Drainer) Advance(now, wall time.Time) {
	if d.config.Budgets == nil || now.Before(d.nextStep) {
		return
	}
	d.nextStep = now.Add(tuning.DrainStepInterval)
	d.expireCharges(wall)
	r, changed := drain.Next(d.records())
	if r == nil {
		return
	}
	s := &step{d: d, record: d.drains[r.Spec.Name], now: now, wall: wall, places: map[*jobs.Job]bool{}}
	if !s.record.durable {
		return
	}
	if changed {
		d.log.Info().Str("drain", r.Spec.Name).Msg("drain started")
		d.storeDrain(s.record, nil)
	}
	s.advance()
}

func (s *step) advance() {
	if s.record.Batch == nil {
		s.beginBatch()
		return
	}
	s.removeGone()
	switch {
	case s.record.Batch == nil:
	case s.record.Batch.Cordoned:
		s.evict()
	default:
		s.awaitReplacements()
	}
}

// wait notes why there is no progress; past its deadline the drain is paused.
func (s *step) wait(cause drain.Cause, team string) {
	if s.record.SetWaitReason(s.wall, drain.Reason{Cause: cause, Team: team}) {
		s.reportPaused()
	}
}

func (s *step) reportPaused() {
	s.d.log.Info().Str("drain", s.record.Spec.Name).Stringer("reason", s.record.Reason).Msg("drain paused")
	s.d.storeDrain(s.record, nil)
}
