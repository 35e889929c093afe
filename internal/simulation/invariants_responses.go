package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/wire"
)

// maxTimeWithoutSuccess is how long requests about a job may go without success once all faults are over.
const maxTimeWithoutSuccess = 75 * time.Second

// ObservedResponse is a response to a request about a job, as its user receives it.
type ObservedResponse struct {
	SentAt     time.Time // by the leader
	ReceivedAt time.Time
	Job        string
	Status     int
	State      string
	Submission bool // it answers a submission
}

// rejectsJob reports whether the response says that the job is unknown or invalid.
func (r *ObservedResponse) rejectsJob() bool {
	invalid := r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
	return r.Status == http.StatusNotFound || r.Submission && invalid
}

// CheckResponse checks a response, in the order in which the user receives those of all nodes.
// One that was sent before the user received the last one crossed it, and is ignored.
func (c *InvariantChecker) CheckResponse(r ObservedResponse) error {
	j := c.jobs[r.Job]
	if j == nil {
		if succeeded(r.Status) {
			return violated(OnlySubmittedJobs, "%s answered %d", r.Job, r.Status)
		}
		return nil
	}
	if r.SentAt.Before(j.lastResponseAt) {
		return nil
	}
	j.lastResponseAt = r.ReceivedAt
	if j.accepted && r.rejectsJob() {
		return violated(AcceptedJobsKept, "%s answered %d", r.Job, r.Status)
	}
	if !succeeded(r.Status) {
		return nil
	}
	j.lastSuccessAt = r.ReceivedAt
	j.accepted = true
	return c.checkState(j, r)
}

// checkState checks the state of a job that its user is told.
func (c *InvariantChecker) checkState(j *observedJob, r ObservedResponse) error {
	requested, confirmedAt := c.dependencyCancelled(j)
	sinceConfirmed := r.ReceivedAt.Sub(confirmedAt)
	active := r.State == wire.JobQueued || r.State == wire.JobRunning
	switch {
	case j.reportedDone && r.State != wire.JobDone, j.isCancelled() && r.State != wire.JobCancelled:
		return violated(TerminalStatesKept, "%s is called %s", r.Job, r.State)
	case r.State == wire.JobCancelled && !j.cancelRequested && !requested:
		return violated(TerminalStatesKept, "%s is called cancelled, and its user did not cancel it", r.Job)
	case active && !confirmedAt.IsZero() && sinceConfirmed > c.CancelDeadline:
		return violated(CancelledWithDependency, "%s is called %s %v after a job before it was cancelled", r.Job, r.State, sinceConfirmed)
	case r.State == wire.JobCancelled && !j.isCancelled():
		j.cancelConfirmedAt = r.ReceivedAt
	case r.State == wire.JobDone:
		if !j.allTasksCompleted() {
			return violated(DoneWhenCompleted, "%s is called done with %d of %d tasks", r.Job, len(j.completedTasks), j.job.Tasks)
		}
		j.reportedDone = true
	}
	return nil
}

// dependencyCancelled reports whether the cancellation of a direct or indirect dependency of a job
// was requested, and when the first one was confirmed, zero if none was.
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

// earlier is the earlier of two times, of which a zero one does not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// CheckRequestsSucceed finds an accepted job about which no request has succeeded for long; settled is
// when all faults were over.
func (c *InvariantChecker) CheckRequestsSucceed(now, faultsOverAt time.Time) error {
	if now.Sub(faultsOverAt) < maxTimeWithoutSuccess {
		return nil
	}
	for id, j := range c.jobs {
		sinceSuccess := now.Sub(j.lastSuccessAt)
		if j.accepted && !j.cancelRequested && sinceSuccess > maxTimeWithoutSuccess {
			return violated(AcceptedJobsKept, "no question about %s answered for %v", id, sinceSuccess)
		}
	}
	return nil
}
