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

// Submit handles a valid submission that came without an admission claim.
func (l *Leader) Submit(now time.Time, wall time.Time, spec *wire.Job, respond func(JobResponse)) {
	l.SubmitWithClaim(now, wall, spec, nil, respond)
}

// SubmitWithClaim handles a valid submission. claim is the report on the submission by the node that
// received it, or nil without a report. respond is called at once if the job is rejected, or if it is
// already known and its state need not be withheld. In all other cases, respond is called when the
// decision about the job is durable or the term has ended.
func (l *Leader) SubmitWithClaim(now time.Time, wall time.Time, spec *wire.Job, claim *admission.Claim, respond func(JobResponse)) {
	// No response may mention a job before its acceptance is durable, not even if its cancellation
	// has been requested. So while the state of a known job must be withheld, this submission waits
	// like the job's first one.
	if j := l.jobs.Get(spec.ID); j != nil && j.MustWithholdState() {
		j.AddWaiter(func(decided bool) { respond(l.decidedResponse(decided, spec.ID, http.StatusOK)) })
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

// checkSubmission returns why a new job must be rejected for a reason other than admission control,
// or nil if there is none.
func (l *Leader) checkSubmission(spec *wire.Job) *RejectedError {
	if !l.MachineTypesKnown() {
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "machine types not known yet"}
	}
	if reason := l.neverRunnableReason(spec); reason != "" {
		return &RejectedError{Status: http.StatusUnprocessableEntity, Reason: reason}
	}
	if rejected := l.checkDependencies(spec); rejected != nil {
		return rejected
	}
	if l.admission.unfinishedTasks+spec.Tasks > tuning.MaxUnfinishedTasks || l.writes.Interactive.Len() >= l.maxInteractiveWrites() {
		// The first limit bounds the memory for unfinished tasks. The second one bounds the queued
		// writes: the key-value store can't execute more writes within the time that users wait
		// for a response, so further submissions would only time out.
		return &RejectedError{Status: http.StatusServiceUnavailable, Reason: "too much work queued"}
	}
	return nil
}

// acceptJob adds a new job and queues its record. The user gets a response when the record is
// durable.
func (l *Leader) acceptJob(now time.Time, wall time.Time, spec *wire.Job, respond func(JobResponse)) {
	j := jobs.New(*spec, wall.UnixMilli(), now)
	l.jobs.Add(j)
	l.admission.addUnfinishedTasks(j.Team, j.Tasks)
	l.graph.Link(j)
	l.graph.QueueCriticalPathUpdates(j)
	j.AddWaiter(func(decided bool) { respond(l.decidedResponse(decided, j.ID, http.StatusCreated)) })
	l.queueJobRecord(j, func() {
		if j.MarkAccepted() {
			l.makeReadyIfUnblocked(now, j)
		}
		// If the job has been cancelled meanwhile, its waiters are notified when its end is durable.
		if j.IsActive() {
			j.NotifyWaiters(true) // the acceptance is durable
		}
	})
	if j.DependencyCancelled() {
		l.cancelDependent(now, j)
	}
}

// maxInteractiveWrites returns the number of writes that the leader's share of the key-value store's
// write limit allows within tuning.SubmitTimeout, the longest time that a user waits for a response.
func (l *Leader) maxInteractiveWrites() int {
	return max(1, int(l.params.KVStore.WriteRPS*tuning.StoreLeaderWriteShare*tuning.SubmitTimeout.Seconds()))
}

// neverRunnableReason returns why a job can never run, or "" if it can.
func (l *Leader) neverRunnableReason(spec *wire.Job) string {
	if reason := l.ledger.QuotaViolation(spec); reason != "" {
		return reason
	}
	request := placement.TaskRequest(spec)
	// This check uses on-demand machines, which every job may use. So AllowsSpot has no effect here.
	probe := placement.PendingJob{MachineTypes: spec.MachineTypes, Zone: spec.Zone, AllowsSpot: true, Request: request, TotalTasks: spec.Tasks}
	for machineType := range l.catalogue.AllTypes() {
		for _, zone := range machineType.Zones {
			if probe.CanRunOn(&placement.Host{Type: machineType.Name, Zone: zone, Capacity: placement.MachineCapacity(machineType)}) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// QuotaViolation returns why a job exceeds its team's quota in the settings, so that it can never
// run, or "". It needs no state, so a node can call it even while no leader is known.
func QuotaViolation(teams []config.Team, spec *wire.Job) string {
	return allocation.QuotaViolation(teams, spec)
}
