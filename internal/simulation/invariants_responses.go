package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/wire"
)

// maxTimeWithoutSuccess is the maximum time without a successful request about a job after the end
// of all faults.
const maxTimeWithoutSuccess = 75 * time.Second

// ObservedResponse is a response to a request about a job, as its user receives it.
type ObservedResponse struct {
	SentAt     time.Time // by the leader
	ReceivedAt time.Time
	Job        string
	Status     int
	State      string
	Submission bool // it responds to a submission
}

// rejectsJob reports whether the response says that the job is unknown or invalid.
func (r *ObservedResponse) rejectsJob() bool {
	invalid := r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
	return r.Status == http.StatusNotFound || r.Submission && invalid
}

// CheckResponse checks a response. Responses must be passed in the order in which the user receives
// them from all nodes. A response that was sent before the user received the previous one is
// ignored, because their order says nothing about the order of the states.
func (c *InvariantChecker) CheckResponse(r ObservedResponse) error {
	j := c.jobs[r.Job]
	if j == nil {
		if succeeded(r.Status) {
			return violated(OnlySubmittedJobs, "response about %s with status %d", r.Job, r.Status)
		}
		return nil
	}
	if r.SentAt.Before(j.lastResponseAt) {
		return nil
	}
	j.lastResponseAt = r.ReceivedAt
	if j.accepted && r.rejectsJob() {
		return violated(AcceptedJobsKept, "response about %s with status %d", r.Job, r.Status)
	}
	if !succeeded(r.Status) {
		return nil
	}
	j.lastSuccessAt = r.ReceivedAt
	j.accepted = true
	return c.checkState(j, r)
}

// checkState checks the state of a job that a response reports.
func (c *InvariantChecker) checkState(j *observedJob, r ObservedResponse) error {
	requested, confirmedAt := c.dependencyCancelled(j)
	sinceConfirmed := r.ReceivedAt.Sub(confirmedAt)
	active := r.State == wire.JobQueued || r.State == wire.JobRunning
	switch {
	case j.reportedDone && r.State != wire.JobDone, j.isCancelled() && r.State != wire.JobCancelled:
		return violated(TerminalStatesKept, "%s is reported as %s", r.Job, r.State)
	case r.State == wire.JobCancelled && !j.cancelRequested && !requested:
		return violated(TerminalStatesKept, "%s is reported as cancelled although its user did not cancel it", r.Job)
	case active && !confirmedAt.IsZero() && sinceConfirmed > c.CancelDeadline:
		return violated(CancelledWithDependency, "%s is reported as %s %v after the cancellation of a dependency", r.Job, r.State, sinceConfirmed)
	case r.State == wire.JobCancelled && !j.isCancelled():
		j.cancelConfirmedAt = r.ReceivedAt
	case r.State == wire.JobDone:
		if !j.allTasksCompleted() {
			return violated(DoneWhenCompleted, "%s is reported as done with %d of %d tasks completed", r.Job, len(j.completedTasks), j.job.Tasks)
		}
		j.reportedDone = true
	}
	return nil
}

// dependencyCancelled reports whether the cancellation of a direct or indirect dependency of a job
// was requested, and returns when the first cancellation was confirmed, zero if none was.
func (c *InvariantChecker) dependencyCancelled(j *observedJob) (requested bool, confirmedAt time.Time) {
	for _, id := range j.job.DependsOn {
		dependency := c.jobs[id]
		if dependency == nil {
			continue
		}
		indirect, at := c.dependencyCancelled(dependency)
		requested = requested || indirect || dependency.cancelRequested && !dependency.reportedDone
		if dependency.cancelRequested {
			at = earlier(at, dependency.cancelConfirmedAt)
		}
		confirmedAt = earlier(confirmedAt, at)
	}
	return requested, confirmedAt
}

// earlier returns the earlier of two times, ignoring zero times.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// CheckRequestsSucceed returns a violation if no request about an accepted job has succeeded for
// maxTimeWithoutSuccess; faultsOverAt is when the last fault ended.
func (c *InvariantChecker) CheckRequestsSucceed(now, faultsOverAt time.Time) error {
	if now.Sub(faultsOverAt) < maxTimeWithoutSuccess {
		return nil
	}
	for id, j := range c.jobs {
		sinceSuccess := now.Sub(j.lastSuccessAt)
		if j.accepted && !j.cancelRequested && sinceSuccess > maxTimeWithoutSuccess {
			return violated(AcceptedJobsKept, "no request about %s succeeded for %v", id, sinceSuccess)
		}
	}
	return nil
}
