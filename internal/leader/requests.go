package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/allocation"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/machines"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Response is the outcome of a request: a status for the user, with a job's state or why the
// request is refused.
type Response struct {
	Status  int
	State   string
	Done    int
	Running int
	Reason  string
	// RetryAfterS is when a user who is refused should come back, in seconds; 0 for the
	// usual time.
	RetryAfter int
}

// IsTerminal reports whether the verdict stays true for good, whoever leads: others may
// be told only by a leader.
func (v Response) IsTerminal() bool {
	return v.Status/100 == 2 && wire.IsTerminal(v.State)
}

func (l *Leader) response(id string) (Response, bool) {
	if f, ok := l.jobs.FinalState(id); ok {
		state := wire.JobDone
		if f.Outcome == records.OutcomeCancelled {
			state = wire.JobCancelled
		}
		return Response{Status: http.StatusOK, State: state, Done: int(f.TasksDone)}, true
	}
	j := l.jobs.Get(id)
	if j == nil {
		return Response{Status: http.StatusNotFound}, false
	}
	v := Response{Status: http.StatusOK, State: wire.JobQueued, Done: j.CompletedTasks(), Running: j.RunningTasks()}
	if j.RunningTasks() > 0 {
		v.State = wire.JobRunning
	}
	return v, true
}

// RejectedError is why a submission is not accepted: now, or ever.
type RejectedError struct {
	Status     int
	Reason     string
	RetryAfter int
}

func (e *RejectedError) Error() string { return e.Reason }

func (e *RejectedError) response() Response {
	return Response{Status: e.Status, Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// Submit takes a checked submission of which no other node has told anything.
func (l *Leader) Submit(now time.Time, wall time.Time, spec *wire.Job, then func(Response)) {
	l.SubmitWithClaim(now, wall, spec, nil, then)
}

// SubmitWithClaim takes a checked submission with what the node that its user has reached
// says of it. It either answers at once or calls then later, when the job is durable or
// the term is over.
func (l *Leader) SubmitWithClaim(now time.Time, wall time.Time, spec *wire.Job, claim *admission.Claim, then func(Response)) {
	// Until the acceptance is durable nobody may be told of the job, not even
	// once its cancellation has been asked for.
	if j := l.jobs.Get(spec.ID); j != nil && j.Undecided() {
		j.AddWaiter(func(ok bool) { then(l.accepted(ok, spec.ID, http.StatusOK)) })
		return
	}
	if v, known := l.response(spec.ID); known {
		then(v)
		return
	}
	rejected := l.checkSubmission(spec)
	if rejected == nil {
		rejected = l.admission.check(now, spec, claim)
	}
	if rejected != nil {
		then(rejected.response())
		return
	}
	l.accept(now, wall, spec, then)
}

// checkSubmission returns why a job that is not known yet can't be accepted, or nil.
func (l *Leader) checkSubmission(spec *wire.Job) *RejectedError {
	if !l.CatalogueKnown() {
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "machine types not known yet"}
	}
	if why := l.impossible(spec); why != "" {
		return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: why}
	}
	if rejected := l.checkDependencies(spec); rejected != nil {
		return rejected
	}
	if l.admission.unfinished+spec.Tasks > tuning.MaxActiveTasks || l.writes.Interactive.Len() >= l.maxInteractiveWrites() {
		// More than the state service takes while users wait for an answer:
		// waiting in line would only end in a timeout.
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "too much work queued"}
	}
	return nil
}

// accept stores a new job; its user is told when it is durable.
func (l *Leader) accept(now time.Time, wall time.Time, spec *wire.Job, then func(Response)) {
	j := jobs.New(*spec, wall.UnixMilli(), now)
	l.jobs.Add(j)
	l.admission.countUnfinished(j.Team, j.Tasks)
	l.graph.Link(j)
	l.graph.SchedulePathsOfDependencies(j)
	j.AddWaiter(func(ok bool) { then(l.accepted(ok, j.ID, http.StatusCreated)) })
	l.storeJob(j, func() {
		if j.MarkAccepted() {
			l.releaseIfUnblocked(now, j)
		}
		if j.IsActive() {
			j.NotifyWaiters(true)
		}
	})
	if j.DependencyCancelled() {
		l.cancelDependent(now, j)
	}
}

// maxInteractiveWrites is how many changes the write budget takes while a user waits.
func (l *Leader) maxInteractiveWrites() int {
	return max(1, int(l.params.KVStore.WriteRPS*tuning.StoreWriteShare*tuning.SubmitTimeout.Seconds()))
}

func (l *Leader) accepted(ok bool, id string, status int) Response {
	if !ok {
		return Response{Status: http.StatusServiceUnavailable, Reason: "the term ended"}
	}
	v, _ := l.response(id)
	v.Status = status
	return v
}

// impossible says why a job can never run, or "".
func (l *Leader) impossible(spec *wire.Job) string {
	if why := l.ledger.AboveLimit(spec); why != "" {
		return why
	}
	need := placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
	probe := placement.PendingJob{MachineTypes: spec.MachineTypes, Zone: spec.Zone, Spot: true, Request: need, TotalTasks: spec.Tasks}
	for mt := range l.catalogue.All() {
		for _, zone := range mt.Zones {
			if probe.Allowed(&placement.Machine{Type: mt.Name, Zone: zone, Capacity: machines.Resources(mt)}) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// AboveLimit says why a job can never run, as far as the settings alone tell, or "": any
// node can say that, whether or not a leader is known.
func AboveLimit(teams []config.Team, spec *wire.Job) string {
	return allocation.AboveLimit(teams, spec)
}

// Query tells a job's state, 503 while it can't be told.
func (l *Leader) Query(id string) Response {
	if j := l.jobs.Get(id); j != nil && j.Undecided() {
		return Response{Status: http.StatusServiceUnavailable, Reason: "being accepted or cancelled"}
	}
	v, _ := l.response(id)
	return v
}

// Cancel cancels a job. It answers at once or calls then when it is durable.
func (l *Leader) Cancel(now time.Time, id string, then func(Response)) {
	if _, ended := l.jobs.FinalState(id); ended {
		v, _ := l.response(id)
		then(v)
		return
	}
	j := l.jobs.Get(id)
	switch {
	case j == nil:
		then(Response{Status: http.StatusNotFound})
	case j.State().IsTerminal():
		// Decided, and on its way to the state service.
		j.AddWaiter(func(ok bool) { then(l.accepted(ok, id, http.StatusOK)) })
	default:
		// A submission still waiting hears of its acceptance, as that is
		// written first, or of the end.
		j.AddWaiter(func(ok bool) { then(l.accepted(ok, id, http.StatusOK)) })
		l.end(now, j, jobs.Cancelled, &l.writes.Interactive)
	}
}
