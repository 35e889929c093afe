package leader

import (
	"net/http"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// Response is the outcome of a request: a status for the user, with a job's state or why the
// request is rejected.
type Response struct {
	Status  int
	State   string
	CompletedTasks    int
	RunningTasks int
	Reason  string
	// RetryAfter is when a user whose request is rejected should come back, in seconds; 0 for
	// the usual time.
	RetryAfter int
}

// IsTerminal reports whether the response stays true for good, whoever leads: any other may
// be given only by a leader.
func (r Response) IsTerminal() bool {
	return r.Status/100 == 2 && wire.IsTerminal(r.State)
}

// response is the state of a job; known is false if there is none.
func (l *Leader) response(id string) (r Response, known bool) {
	if f, ok := l.jobs.FinalState(id); ok {
		state := wire.JobDone
		if f.Outcome == records.OutcomeCancelled {
			state = wire.JobCancelled
		}
		return Response{Status: http.StatusOK, State: state, CompletedTasks: int(f.TasksDone)}, true
	}
	j := l.jobs.Get(id)
	if j == nil {
		return Response{Status: http.StatusNotFound}, false
	}
	r = Response{Status: http.StatusOK, State: wire.JobQueued, CompletedTasks: j.CompletedTasks(), RunningTasks: j.RunningTasks()}
	if j.RunningTasks() > 0 {
		r.State = wire.JobRunning
	}
	return r, true
}

// RejectedError is why a submission is not accepted, now or ever.
type RejectedError struct {
	Status     int
	Reason     string
	RetryAfter int
}

func (e *RejectedError) Error() string { return e.Reason }

func (e *RejectedError) response() Response {
	return Response{Status: e.Status, Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// accepted is the response to a request whose outcome is decided, or, with ok false, is not as the
// term is over.
func (l *Leader) accepted(ok bool, id string, status int) Response {
	if !ok {
		return Response{Status: http.StatusServiceUnavailable, Reason: "the term ended"}
	}
	r, _ := l.response(id)
	r.Status = status
	return r
}
