package node

import (
	"context"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// handleLocally handles a call if this node leads. handled is false if the node doesn't lead or may
// not respond to this call, so that the caller must forward it.
func (n *Node) handleLocally(ctx context.Context, c peer.Call) (response peer.Response, handled bool) {
	if c.Op == peer.OpHeartbeat {
		return n.handleHeartbeat(c.Heartbeat)
	}
	result, leadership := n.startRequest(c)
	if leadership == nil {
		return peer.Response{}, false
	}
	signal(n.writeSignal)
	return n.updateIfEnded(c.JobID, waitForResult(ctx, leadership, result)), true
}

// updateIfEnded returns the final state of the job in a response instead of an earlier state, if the
// job has ended since the response was decided. Otherwise a user could get the earlier state after
// the response to another request has contained the final one.
func (n *Node) updateIfEnded(jobID string, response peer.Response) peer.Response {
	if response.Job == nil || response.IsTerminal() {
		return response
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == nil {
		return response
	}
	final, ended := n.leader.FinalResponse(jobID)
	if !ended {
		return response
	}
	final.Status = response.Status // 201 for a new job
	return jobResponse(jobID, final)
}

// handleHeartbeat handles an agent's heartbeat if this node leads and holds its lease, or is in
// the grace period after the lease's validity.
func (n *Node) handleHeartbeat(h *wire.Heartbeat) (response peer.Response, handled bool) {
	now := time.Now()
	n.mu.Lock()
	if n.leader == nil {
		n.mu.Unlock()
		return peer.Response{}, false
	}
	response, handled = n.applyHeartbeat(now, h)
	n.mu.Unlock()
	signal(n.tickSignal)
	return response, handled
}

// applyHeartbeat applies an agent's heartbeat to the leader's state. It revokes the leadership
// if the agent has already seen a later term. The caller must hold mu.
func (n *Node) applyHeartbeat(now time.Time, h *wire.Heartbeat) (response peer.Response, handled bool) {
	holdsLease := n.leadership.HoldsLease(now)
	if !n.leadership.MayRespondToHeartbeats(now, n.gracePeriod) {
		return peer.Response{}, false
	}
	heartbeatResponse, outcome := n.leader.HandleHeartbeat(now, h, holdsLease)
	switch outcome {
	case leader.HeartbeatFromLaterTerm:
		n.leadership.Revoke()
		return peer.Response{}, false
	case leader.HeartbeatRejected:
		return peer.ErrorResponse(http.StatusServiceUnavailable, "older than what is known"), true
	}
	return peer.Response{Status: http.StatusOK, Heartbeat: &heartbeatResponse}, true
}

// startRequest passes a request to the leader's state. It returns the channel that receives the
// result, and the leadership in which the request was started. If this node doesn't hold the lease,
// it returns nil and does nothing, because only the node that certainly leads may respond to users.
func (n *Node) startRequest(c peer.Call) (<-chan peer.Response, *election.Leadership) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == nil || !n.leadership.HoldsLease(now) {
		return nil, nil
	}
	result := make(chan peer.Response, 1)
	respond := func(r leader.JobResponse) { result <- jobResponse(c.JobID, r) }
	switch c.Op {
	case peer.OpQuery:
		respond(n.leader.Query(c.JobID))
	case peer.OpCancel:
		n.leader.Cancel(now, c.JobID, respond)
	case peer.OpSubmit:
		n.leader.SubmitWithClaim(now, time.Now(), c.Submission(), c.Admission, respond)
	case peer.OpDrain:
		n.leader.HandleDrainRequest(now, time.Now(), c.Drain, func(r drain.Response) {
			result <- peer.Response{Status: r.HTTPStatus, Reason: r.Reason, Drains: r.Drains}
		})
	}
	return result, n.leadership
}

// waitForResult waits for the result of a request, which may need a commit first. It returns 503 on
// a timeout. It also returns 503 if the lease is no longer valid and the result isn't terminal:
// a later leader may have changed the job's state since.
func waitForResult(ctx context.Context, leadership *election.Leadership, result <-chan peer.Response) peer.Response {
	timer := time.NewTimer(tuning.SubmitTimeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if !response.IsTerminal() && !leadership.HoldsLease(time.Now()) {
			// The process may have been suspended for longer than the lease's validity, and a
			// later leader may already have sent the user a newer state.
			return peer.ErrorResponse(http.StatusServiceUnavailable, "no longer the leader")
		}
		return response
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.ErrorResponse(http.StatusServiceUnavailable, "state service does not answer")
}

// jobResponse converts the leader's response about a job to a response to the call.
func jobResponse(job string, r leader.JobResponse) peer.Response {
	if r.Status/100 != 2 {
		return errorResponse(r.Status, r.Reason, r.RetryAfterS)
	}
	status := &wire.JobStatus{ID: job, State: r.State, Done: r.CompletedTasks, Running: r.RunningTasks}
	return peer.Response{Status: r.Status, Job: status}
}

// errorResponse returns a response with an error status, the reason and the number of
// seconds after which the client may retry.
func errorResponse(status int, reason string, retryAfterS int) peer.Response {
	response := peer.ErrorResponse(status, reason)
	response.RetryAfter = retryAfterS
	return response
}
