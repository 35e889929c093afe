package leader

import (
	"net/http"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// JobResponse is the response to a user's request about a job: an HTTP status, and the job's state
// or the reason for a rejection.
type JobResponse struct {
	Status         int
	State          string
	CompletedTasks int
	RunningTasks   int
	Reason         string
	// RetryAfter is the number of seconds after which a rejected request should be retried, or 0
	// for the default delay.
	RetryAfter int
}

// IsTerminal reports whether the response contains a final state of the job. Any node may send such
// a response, because the state can't change any more. All other responses may come only from a
// leader.
func (r JobResponse) IsTerminal() bool {
	return r.Status/100 == 2 && wire.IsTerminal(r.State)
}

// jobResponse returns a response with the current state of a job. known is false if the job does
// not exist.
func (l *Leader) jobResponse(id string) (r JobResponse, known bool) {
	if f, ok := l.jobs.FinalState(id); ok {
		state := wire.JobDone
		if f.Outcome == records.OutcomeCancelled {
			state = wire.JobCancelled
		}
		return JobResponse{Status: http.StatusOK, State: state, CompletedTasks: int(f.TasksDone)}, true
	}
	j := l.jobs.Get(id)
	if j == nil {
		return JobResponse{Status: http.StatusNotFound}, false
	}
	r = JobResponse{Status: http.StatusOK, State: wire.JobQueued, CompletedTasks: j.CompletedTasks(), RunningTasks: j.RunningAttempts()}
	if j.RunningAttempts() > 0 {
		r.State = wire.JobRunning
	}
	return r, true
}

// RejectedError says why a submission is rejected. The status is 422 if the job can never be
// accepted, and 429 or 503 if the submission may be retried.
type RejectedError struct {
	Status     int
	Reason     string
	RetryAfter int
}

func (e *RejectedError) Error() string { return e.Reason }

func (e *RejectedError) response() JobResponse {
	return JobResponse{Status: e.Status, Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// decidedResponse returns the response to a request that has waited until the job's acceptance or
// end is durable, with the given status. If decided is false, the term ended before that, and the
// status is 503.
func (l *Leader) decidedResponse(decided bool, id string, status int) JobResponse {
	if !decided {
		return JobResponse{Status: http.StatusServiceUnavailable, Reason: "the term ended"}
	}
	r, _ := l.jobResponse(id)
	r.Status = status
	return r
}
