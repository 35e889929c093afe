package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
)

// Query returns a job's state, or 503 while the job is being accepted or cancelled.
func (l *Leader) Query(id string) JobResponse {
	if j := l.jobs.Get(id); j != nil && j.StateWithheld() {
		return JobResponse{Status: http.StatusServiceUnavailable, Reason: "being accepted or cancelled"}
	}
	r, _ := l.jobResponse(id)
	return r
}

// Cancel cancels a job. It calls respond at once, or when the cancellation is durable.
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
		j.AddWaiter(func(ok bool) { respond(l.decidedResponse(ok, id, http.StatusOK)) })
	default:
		// A submission that still waits gets its response with the acceptance, which is written
		// first, or with the job's end.
		j.AddWaiter(func(ok bool) { respond(l.decidedResponse(ok, id, http.StatusOK)) })
		l.endJob(now, j, jobs.Cancelled, &l.writes.Interactive)
	}
}
