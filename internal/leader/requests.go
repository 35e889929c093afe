package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
)

// Query returns a job's state. The status is 503 while an acceptance or cancellation is not durable
// yet, because the job's state must not be disclosed then.
func (l *Leader) Query(id string) JobResponse {
	if j := l.jobs.Get(id); j != nil && j.MustWithholdState() {
		return JobResponse{Status: http.StatusServiceUnavailable, Reason: "being accepted or cancelled"}
	}
	r, _ := l.jobResponse(id)
	return r
}

// Cancel cancels a job. It calls respond at once if the job has ended or does not exist, and
// otherwise when the job's end is durable.
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
		// A submission that still waits for its response gets one at the same time, when the
		// cancellation is durable.
		j.AddWaiter(func(decided bool) { respond(l.decidedResponse(decided, id, http.StatusOK)) })
		l.endJob(now, j, jobs.Cancelled, &l.writes.Interactive)
	}
}
