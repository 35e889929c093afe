package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// NewAdmissionRequest returns the request to admission control for a submission.
func NewAdmissionRequest(s *admission.Settings, spec *wire.Job) *admission.Request {
	key, _ := s.Key(spec.Team, spec.Class)
	return &admission.Request{
		ID:           spec.ID,
		Key:          key,
		PriorityRank: wire.PriorityRank(spec.Priority),
		Tasks:        spec.Tasks,
		Dependent:    len(spec.DependsOn) > 0,
	}
}

// admissionControl decides whether to admit new jobs under overload. It also counts the unfinished
// tasks.
type admissionControl struct {
	settings  *admission.Settings
	regulator *admission.Regulator // nil if admission control is off
	// unfinished counts the unfinished tasks of all teams, unfinishedByTeam those of each team.
	unfinished       int
	unfinishedByTeam map[string]int
}

// newAdmissionControl returns the term's admission control, which is off unless the operators
// have enabled it.
func newAdmissionControl(p *config.Params, o *config.OperatorSettings, term uint64, now time.Time) *admissionControl {
	c := &admissionControl{settings: o.AdmissionSettings(p), unfinishedByTeam: map[string]int{}}
	if c.settings != nil {
		c.regulator = admission.NewRegulator(c.settings, term, now)
	}
	return c
}

// addUnfinished adds tasks to the unfinished tasks of a team. A negative number removes tasks.
func (c *admissionControl) addUnfinished(team string, tasks int) {
	c.unfinished += tasks
	c.unfinishedByTeam[team] += tasks
}

// check returns why an acceptable job is rejected because of overload, or nil if it is admitted.
// claim is what the node that received the submission reports, or nil.
func (c *admissionControl) check(now time.Time, spec *wire.Job, claim *admission.Claim) *RejectedError {
	if c.regulator == nil {
		return nil
	}
	request := NewAdmissionRequest(c.settings, spec)
	tasks := admission.TaskLoad{Total: c.unfinished, Team: c.unfinishedByTeam[spec.Team]}
	decision := c.regulator.Admit(now, request, claim, tasks)
	if decision.Admitted {
		return nil
	}
	return OverloadRejection(decision)
}

// shedding reports whether new jobs are rejected for overload.
func (c *admissionControl) shedding() bool { return c.regulator != nil && c.regulator.Shedding() }

// OverloadRejection returns the error for a job that admission control has rejected.
func OverloadRejection(d admission.Decision) *RejectedError {
	return &RejectedError{Status: http.StatusTooManyRequests, Reason: "more is submitted than can be taken now", RetryAfter: d.RetryAfterS}
}

// UpdateAdmission adapts admission control to the leader's load and to the offered load that the
// nodes report. lag is how late the leader's periodic work runs.
func (l *Leader) UpdateAdmission(now, wall time.Time, lag time.Duration, nodes []admission.NodeOfferedLoad) {
	if l.admission.regulator == nil {
		return
	}
	wasShedding := l.admission.regulator.Shedding()
	l.admission.regulator.Update(now, wall, admission.LeaderLoad{
		PendingWrites: l.writes.Interactive.Len(),
		SentWrites:    l.writes.Interactive.Dequeued(),
		Lag:           lag,
	}, nodes)
	if shedding := l.admission.regulator.Shedding(); shedding != wasShedding {
		summary := l.admission.regulator.Summary()
		l.log.Info().Bool("shedding", shedding).Float64("pressure", summary.Pressure).Float64("offered", summary.OfferedRate).
			Float64("budget", summary.Budget).Msg("load shedding started or stopped")
	}
}

// AdmissionPolicy returns the admission policy for all nodes, or nil if admission control is off.
func (l *Leader) AdmissionPolicy() *admission.Policy {
	if l.admission.regulator == nil {
		return nil
	}
	p := l.admission.regulator.Policy()
	return &p
}

// AdmissionSummary returns the figures of admission control for the log, and false if it is off.
func (l *Leader) AdmissionSummary() (admission.Summary, bool) {
	if l.admission.regulator == nil {
		return admission.Summary{}, false
	}
	return l.admission.regulator.Summary(), true
}
