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

// handleLocally handles a call with the leader's state of this node. handled is false if
// this node isn't allowed to answer it.
func (n *Node) handleLocally(ctx context.Context, c peer.Call) (response peer.Response, handled bool) {
	if c.Op == peer.OpHeartbeat {
		return n.handleHeartbeat(c.Heartbeat)
	}
	result, leadership := n.startRequest(c)
	if leadership == nil {
		return peer.Response{}, false
	}
	signal(n.writeSignal)
	return awaitResult(ctx, leadership, result), true
}

// handleHeartbeat handles a worker's heartbeat if this node holds the lease or is in its
// grace period.
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

// applyHeartbeat applies a worker's heartbeat to the leader's state. It revokes the leadership
// if the heartbeat carries a later term. The caller must hold mu.
func (n *Node) applyHeartbeat(now time.Time, h *wire.Heartbeat) (response peer.Response, handled bool) {
	holdsLease := n.leadership.HoldsLease(now)
	if !n.leadership.InGracePeriod(now, n.gracePeriod) {
		return peer.Response{}, false
	}
	heartbeatResponse, outcome := n.leader.HandleHeartbeat(now, h, holdsLease)
	switch outcome {
	case leader.HeartbeatFromLaterTerm:
		n.leadership.Revoke()
		return peer.Response{}, false
	case leader.HeartbeatStale:
		return peer.ErrorResponse(http.StatusServiceUnavailable, "older than what is known"), true
	}
	return peer.Response{Status: http.StatusOK, Heartbeat: &heartbeatResponse}, true
}

// startRequest passes a request to the leader's state and returns the channel that receives
// its result. Without the lease it does nothing and returns nil, because only the node that
// certainly leads may answer users.
func (n *Node) startRequest(c peer.Call) (<-chan peer.Response, *election.Leadership) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == nil || !n.leadership.HoldsLease(now) {
		return nil, nil
	}
	result := make(chan peer.Response, 1)
	respond := func(r leader.JobResponse) { result <- jobResponse(c.Job, r) }
	switch c.Op {
	case peer.OpQuery:
		respond(n.leader.Query(c.Job))
	case peer.OpCancel:
		n.leader.Cancel(now, c.Job, respond)
	case peer.OpSubmit:
		n.leader.SubmitWithClaim(now, time.Now(), c.Submission(), c.Admission, respond)
	case peer.OpDrain:
		n.leader.HandleDrainRequest(now, time.Now(), c.Drain, func(r drain.Response) {
			result <- peer.Response{Status: r.Status, Reason: r.Reason, Drains: r.Drains}
		})
	}
	return result, n.leadership
}

// awaitResult waits for the result of a request, which may require a commit. It returns 503
// on a timeout, and for a result that can still change if the lease has expired meanwhile.
func awaitResult(ctx context.Context, leadership *election.Leadership, result <-chan peer.Response) peer.Response {
	timer := time.NewTimer(tuning.SubmitTimeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if !response.IsTerminal() && !leadership.HoldsLease(time.Now()) {
			// The process may have been suspended, and a later leader may have sent the
			// user a newer state.
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
		return errorResponse(r.Status, r.Reason, r.RetryAfter)
	}
	status := &wire.JobStatus{ID: job, State: r.State, Done: r.CompletedTasks, Running: r.RunningTasks}
	return peer.Response{Status: r.Status, Job: status}
}

// errorResponse returns a response with an error status, the reason and the number of
// seconds after which the caller may retry.
func errorResponse(status int, reason string, retryAfter int) peer.Response {
	response := peer.ErrorResponse(status, reason)
	response.RetryAfter = retryAfter
	return response
}
