package leader

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/jobs"
)

// Query returns a job's state, 503 while that is not decided.
func (l *Leader) Query(id string) Response {
	if j := l.jobs.Get(id); j != nil && j.StateWithheld() {
		return Response{Status: http.StatusServiceUnavailable, Reason: "being accepted or cancelled"}
	}
	r, _ := l.response(id)
	return r
}

// Cancel cancels a job. It calls then at once, or when the cancellation is durable.
func (l *Leader) Cancel(now time.Time, id string, then func(Response)) {
	if _, ended := l.jobs.FinalState(id); ended {
		r, _ := l.response(id)
		then(r)
		return
	}
	j := l.jobs.Get(id)
	switch {
	case j == nil:
		then(Response{Status: http.StatusNotFound})
	case j.State().IsTerminal():
		// Decided, and about to be stored.
		j.AddWaiter(func(ok bool) { then(l.accepted(ok, id, http.StatusOK)) })
	default:
		// A submission that still waits gets the response to its acceptance, as that is
		// written first, or to the end.
		j.AddWaiter(func(ok bool) { then(l.accepted(ok, id, http.StatusOK)) })
		l.end(now, j, jobs.Cancelled, &l.writes.Interactive)
	}
}
