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
// tasks: all tasks of the jobs whose end is not durable yet.
type admissionControl struct {
	settings  *admission.Settings
	regulator *admission.Regulator // nil if admission control is off
	// unfinishedTasks is the number of unfinished tasks of all teams, unfinishedTasksByTeam that of
	// each team.
	unfinishedTasks       int
	unfinishedTasksByTeam map[string]int
}

// newAdmissionControl returns the term's admission control, which is off unless the operators
// have enabled it.
func newAdmissionControl(p *config.Params, o *config.OperatorSettings, term uint64, now time.Time) *admissionControl {
	c := &admissionControl{settings: o.AdmissionSettings(p), unfinishedTasksByTeam: map[string]int{}}
	if c.settings != nil {
		c.regulator = admission.NewRegulator(c.settings, term, now)
	}
	return c
}

// addUnfinishedTasks adds tasks to the unfinished tasks of a team. A negative number removes tasks.
func (c *admissionControl) addUnfinishedTasks(team string, tasks int) {
	c.unfinishedTasks += tasks
	c.unfinishedTasksByTeam[team] += tasks
}

// check returns why an otherwise acceptable job is rejected for overload, or nil if it is admitted.
// claim is the report on the submission by the node that received it, or nil without a report.
func (c *admissionControl) check(now time.Time, spec *wire.Job, claim *admission.Claim) *RejectedError {
	if c.regulator == nil {
		return nil
	}
	request := NewAdmissionRequest(c.settings, spec)
	tasks := admission.TaskLoad{Total: c.unfinishedTasks, Team: c.unfinishedTasksByTeam[spec.Team]}
	decision := c.regulator.Admit(now, request, claim, tasks)
	if decision.Admitted {
		return nil
	}
	return OverloadRejection(decision)
}

// isShedding reports whether load shedding is active: new jobs are rejected because of overload.
func (c *admissionControl) isShedding() bool { return c.regulator != nil && c.regulator.IsShedding() }

// OverloadRejection returns the error for a job that admission control has rejected.
func OverloadRejection(d admission.Decision) *RejectedError {
	return &RejectedError{Status: http.StatusTooManyRequests, Reason: "more is submitted than can be taken now", RetryAfterS: d.RetryAfterS}
}

// UpdateAdmission adapts admission control to the leader's load and to the offered load that the
// nodes report. lag is the delay with which the leader's periodic work runs.
func (l *Leader) UpdateAdmission(now, wall time.Time, lag time.Duration, nodes []admission.NodeOfferedLoad) {
	if l.admission.regulator == nil {
		return
	}
	wasShedding := l.admission.regulator.IsShedding()
	l.admission.regulator.Update(now, wall, admission.LeaderLoad{
		PendingWrites: l.writes.Interactive.Len(),
		SentWrites:    l.writes.Interactive.Dequeued(),
		Lag:           lag,
	}, nodes)
	if shedding := l.admission.regulator.IsShedding(); shedding != wasShedding {
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
