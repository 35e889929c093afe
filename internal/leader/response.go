package leader

import (
	"net/http"

	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// JobResponse is the response to a user's request about a job: an HTTP status, and the job's state
// or the reason for a rejection.
type JobResponse struct {
	Status         int    // HTTP status
	State          string // one of wire.Job…, or "" if the response describes no job
	CompletedTasks int
	RunningTasks   int
	Reason         string // why the request was not executed, or ""
	// RetryAfterS is the number of seconds after which a rejected request should be retried, or 0
	// for the default delay.
	RetryAfterS int
}

// IsTerminal reports whether the response contains a final state of the job. Any node may send such
// a response, because the state can't change any more. All other responses may come only from a
// leader.
func (r JobResponse) IsTerminal() bool {
	return r.Status/100 == 2 && wire.IsTerminal(r.State)
}

// FinalResponse returns a response with the durable final state of a job. ended is false if the job has
// none. A response that was decided before the job's end must not be sent after it, because another
// request may have got a response with the final state in between.
func (l *Leader) FinalResponse(id string) (r JobResponse, ended bool) {
	f, ended := l.jobs.FinalState(id)
	if !ended {
		return JobResponse{}, false
	}
	state := wire.JobDone
	if f.Outcome == records.OutcomeCancelled {
		state = wire.JobCancelled
	}
	return JobResponse{Status: http.StatusOK, State: state, CompletedTasks: int(f.TasksDone)}, true
}

// jobResponse returns a response with the current state of a job. known is false if the job does
// not exist.
func (l *Leader) jobResponse(id string) (r JobResponse, known bool) {
	if r, ended := l.FinalResponse(id); ended {
		return r, true
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

// RejectedError says why a submission is rejected.
type RejectedError struct {
	Status      int // HTTP status: 422 if the job can never be accepted, 429 or 503 if a retry may succeed
	Reason      string
	RetryAfterS int // as in JobResponse
}

func (e *RejectedError) Error() string { return e.Reason }

func (e *RejectedError) response() JobResponse {
	return JobResponse{Status: e.Status, Reason: e.Reason, RetryAfterS: e.RetryAfterS}
}

// decidedResponse returns the response to a request that waited for the job's acceptance or end to
// become durable. The response has the given status, or 503 if decided is false, which means that the
// term ended before the decision was durable.
func (l *Leader) decidedResponse(decided bool, id string, status int) JobResponse {
	if !decided {
		return JobResponse{Status: http.StatusServiceUnavailable, Reason: "the term ended"}
	}
	r, _ := l.jobResponse(id)
	r.Status = status
	return r
}
