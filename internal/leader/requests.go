package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
)

// Query returns a job's state. It responds with status 503 while the state must be withheld. This is
// the case until the job's acceptance is durable, and, if the job is cancelled because a dependency
// was cancelled, until its own cancellation is durable.
func (l *Leader) Query(id string) JobResponse {
	if j := l.jobs.Get(id); j != nil && j.MustWithholdState() {
		return JobResponse{Status: http.StatusServiceUnavailable, Reason: "being accepted or cancelled"}
	}
	r, _ := l.jobResponse(id)
	return r
}

// Cancel cancels a job. It calls respond at once if the job does not exist or its final state is
// durable already. Otherwise it calls respond when the final state is durable or the term has ended.
func (l *Leader) Cancel(now time.Time, id string, respond func(JobResponse)) {
	if _, ended := l.jobs.FinalState(id); ended {
		r, _ := l.jobResponse(id)
		respond(r)
		return
	}
	j := l.jobs.Get(id)
	switch {
	case j == nil:
		respond(JobResponse{Status: http.StatusNotFound})
	case j.State().IsTerminal():
		// The job has ended, but its final state is not durable yet.
		j.AddWaiter(func(decided bool) { respond(l.decidedResponse(decided, id, http.StatusOK)) })
	default:
		// If the submission still waits for its response, the submission and this request get their
		// responses when the cancellation is durable.
		j.AddWaiter(func(decided bool) { respond(l.decidedResponse(decided, id, http.StatusOK)) })
		l.endJob(now, j, jobs.Cancelled, &l.writes.Interactive)
	}
}
