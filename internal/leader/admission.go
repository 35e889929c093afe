package leader

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
		ID:           spec.ID,
		Key:          key,
		PriorityRank: wire.PriorityRank(spec.Priority),
		Tasks:        spec.Tasks,
		Dependent:    len(spec.DependsOn) > 0,
	}
}

// checkAdmission returns why a job that could be accepted is not taken now, or nil.
func (l *Leader) checkAdmission(now time.Time, spec *wire.Job, claim *admission.Claim) *RejectedError {
	if l.regulator == nil {
		return nil
	}
	request := AdmissionRequest(l.admissionSettings, spec)
	tasks := admission.TaskLoad{All: l.active, Team: l.activeByTeam[spec.Team]}
	decision := l.regulator.Admit(now, request, claim, tasks)
	if decision.Admitted {
		return nil
	}
	return RejectOverload(decision)
}

// RejectOverload is the refusal of a job that is not admitted now.
func RejectOverload(d admission.Decision) *RejectedError {
	return &RejectedError{Status: http.StatusTooManyRequests, Reason: "more is submitted than can be taken now", RetryAfter: d.RetryAfterS}
}

// shedding reports whether new jobs are rejected for overload.
func (l *Leader) shedding() bool { return l.regulator != nil && l.regulator.Shedding() }

// UpdateAdmission looks at the load and at what all nodes are offered. lag is by how much
// the leader's periodic work came too late.
func (l *Leader) UpdateAdmission(now, wall time.Time, lag time.Duration, nodes []admission.NodeOfferedLoad) {
	if l.regulator == nil {
		return
	}
	was := l.regulator.Shedding()
	l.regulator.Update(now, wall, admission.LeaderLoad{
		Waiting: l.writes.Interactive.Len(),
		Written: l.writes.Interactive.Taken(),
		Lag:     lag,
	}, nodes)
	if is := l.regulator.Shedding(); is != was {
		s := l.regulator.Summary()
		l.log.Info().Bool("shedding", is).Float64("pressure", s.Pressure).Float64("offered", s.Offered).
			Float64("budget", s.Budget).Msg("admission control changed")
	}
}

// AdmissionPolicy is what the leader lets all nodes know, nil if admission is off.
func (l *Leader) AdmissionPolicy() *admission.Policy {
	if l.regulator == nil {
		return nil
	}
	p := l.regulator.Policy()
	return &p
}

// AdmissionSummary are the figures of admission for the logs, and whether it is on.
func (l *Leader) AdmissionSummary() (admission.Summary, bool) {
	if l.regulator == nil {
		return admission.Summary{}, false
	}
	return l.regulator.Summary(), true
}

// setUpAdmission begins the term's admission control if the operators have turned it on.
func (l *Leader) setUpAdmission(o *config.Operator, now time.Time) {
	l.admissionSettings = o.AdmissionSettings(&l.params)
	if l.admissionSettings != nil {
		l.regulator = admission.NewRegulator(l.admissionSettings, l.term, now)
	}
}

// countUnfinished notes that a team has so many unfinished tasks more, or less.
func (l *Leader) countUnfinished(team string, tasks int) {
	l.active += tasks
	l.activeByTeam[team] += tasks
}
