package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/allocation"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Submit handles a valid submission without an admission claim of another node.
func (l *Leader) Submit(now time.Time, wall time.Time, spec *wire.Job, respond func(Response)) {
	l.SubmitWithClaim(now, wall, spec, nil, respond)
}

// SubmitWithClaim handles a valid submission with the admission claim of the node that received
// it. It calls respond at once, or later, when the job is durable or the term has ended.
func (l *Leader) SubmitWithClaim(now time.Time, wall time.Time, spec *wire.Job, claim *admission.Claim, respond func(Response)) {
	// Until the acceptance is durable no response may mention the job, not even
	// once its cancellation has been requested.
	if j := l.jobs.Get(spec.ID); j != nil && j.MustWithholdState() {
		j.AddWaiter(func(ok bool) { respond(l.decidedResponse(ok, spec.ID, http.StatusOK)) })
		return
	}
	if r, known := l.jobResponse(spec.ID); known {
		respond(r)
		return
	}
	rejected := l.checkSubmission(spec)
	if rejected == nil {
		rejected = l.admission.check(now, spec, claim)
	}
	if rejected != nil {
		respond(rejected.response())
		return
	}
	l.acceptJob(now, wall, spec, respond)
}

// checkSubmission returns why a new job can't be accepted, or nil.
func (l *Leader) checkSubmission(spec *wire.Job) *RejectedError {
	if !l.CatalogueKnown() {
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "machine types not known yet"}
	}
	if reason := l.unsatisfiableReason(spec); reason != "" {
		return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: reason}
	}
	if rejected := l.checkDependencies(spec); rejected != nil {
		return rejected
	}
	if l.admission.unfinished+spec.Tasks > tuning.MaxUnfinishedTasks || l.writes.Interactive.Len() >= l.maxInteractiveWrites() {
		// The key-value store can't take more writes while users wait for a response: queueing
		// them would only end in a timeout.
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "too much work queued"}
	}
	return nil
}

// acceptJob stores a new job; its user gets a response once it is durable.
func (l *Leader) acceptJob(now time.Time, wall time.Time, spec *wire.Job, respond func(Response)) {
	j := jobs.New(*spec, wall.UnixMilli(), now)
	l.jobs.Add(j)
	l.admission.countUnfinished(j.Team, j.Tasks)
	l.graph.Link(j)
	l.graph.QueueCriticalPathUpdates(j)
	j.AddWaiter(func(ok bool) { respond(l.decidedResponse(ok, j.ID, http.StatusCreated)) })
	l.storeJob(j, func() {
		if j.MarkAccepted() {
			l.makeReadyIfUnblocked(now, j)
		}
		if j.IsActive() {
			j.NotifyWaiters(true)
		}
	})
	if j.DependencyCancelled() {
		l.cancelDependent(now, j)
	}
}

// maxInteractiveWrites returns how many writes the write budget allows while a user waits.
func (l *Leader) maxInteractiveWrites() int {
	return max(1, int(l.params.KVStore.WriteRPS*tuning.StoreWriteShare*tuning.SubmitTimeout.Seconds()))
}

// unsatisfiableReason returns why a job can never run, or "" if it can.
func (l *Leader) unsatisfiableReason(spec *wire.Job) string {
	if reason := l.ledger.QuotaViolation(spec); reason != "" {
		return reason
	}
	request := placement.TaskRequest(spec)
	probe := placement.PendingJob{MachineTypes: spec.MachineTypes, Zone: spec.Zone, Spot: true, Request: request, TotalTasks: spec.Tasks}
	for mt := range l.catalogue.All() {
		for _, zone := range mt.Zones {
			if probe.CanRunOn(&placement.Machine{Type: mt.Name, Zone: zone, Capacity: placement.MachineCapacity(mt)}) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// LimitViolation returns why the settings alone show that a job can never run, or "". Any node
// can call it, whether or not a leader is known.
func LimitViolation(teams []config.Team, spec *wire.Job) string {
	return allocation.QuotaViolation(teams, spec)
}
