package controller

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// AdmissionRequest is a submission as admission control looks at it.
func AdmissionRequest(s *admission.Settings, spec *wire.Job) *admission.Request {
	key, _ := s.Key(spec.Team, spec.Class)
	return &admission.Request{
		ID:        spec.ID,
		Key:       key,
		Level:     wire.Level(spec.Priority),
		Tasks:     spec.Tasks,
		Dependent: len(spec.Needs) > 0,
	}
}

// checkAdmission returns why a job that could be accepted is not taken now, or nil.
func (c *Controller) checkAdmission(now time.Time, spec *wire.Job, claim *admission.Claim) *RejectedError {
	if c.regulator == nil {
		return nil
	}
	request := AdmissionRequest(c.admissionSettings, spec)
	tasks := admission.TaskLoad{All: c.active, Team: c.activeByTeam[spec.Team]}
	decision := c.regulator.Admit(now, request, claim, tasks)
	if decision.Admitted {
		return nil
	}
	return Shed(decision)
}

// Shed is the refusal of a job that is not admitted now.
func Shed(d admission.Decision) *RejectedError {
	return &RejectedError{Status: http.StatusTooManyRequests, Reason: "more is submitted than can be taken now", RetryAfter: d.RetryAfter}
}

// UpdateAdmission looks at the load and at what all nodes are offered. lag is by how much
// the leader's periodic work came too late.
func (c *Controller) UpdateAdmission(now, wall time.Time, lag time.Duration, nodes []admission.NodeOffers) {
	if c.regulator == nil {
		return
	}
	was := c.regulator.Shedding()
	c.regulator.Update(now, wall, admission.Load{
		Waiting: c.interactiveWrites.len(),
		Written: c.interactiveWrites.taken,
		Lag:     lag,
	}, nodes)
	if is := c.regulator.Shedding(); is != was {
		s := c.regulator.Summary()
		c.log.Info().Bool("shedding", is).Float64("pressure", s.Pressure).Float64("offered", s.Offered).
			Float64("budget", s.Budget).Msg("admission")
	}
}

// AdmissionPolicy is what the leader lets all nodes know, nil if admission is off.
func (c *Controller) AdmissionPolicy() *admission.Policy {
	if c.regulator == nil {
		return nil
	}
	p := c.regulator.Policy()
	return &p
}

// AdmissionSummary are the figures of admission for the logs, and whether it is on.
func (c *Controller) AdmissionSummary() (admission.Summary, bool) {
	if c.regulator == nil {
		return admission.Summary{}, false
	}
	return c.regulator.Summary(), true
}

// setUpAdmission begins the term's admission control if the operators have turned it on.
func (c *Controller) setUpAdmission(o *config.Operator, now time.Time) {
	c.admissionSettings = o.AdmissionSettings(&c.params)
	if c.admissionSettings != nil {
		c.regulator = admission.NewRegulator(c.admissionSettings, c.term, now)
	}
}

// countUnfinished notes that a team has so many unfinished tasks more, or less.
func (c *Controller) countUnfinished(team string, tasks int) {
	c.active += tasks
	c.activeByTeam[team] += tasks
}
