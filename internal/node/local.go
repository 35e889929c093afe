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

// handleLocally carries a call out with this node's own state, if it leads.
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

// handleHeartbeat answers a worker if this node leads, or may still answer heartbeats.
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

// applyHeartbeat gives a worker's heartbeat to the leader's state. It is called under mu.
func (n *Node) applyHeartbeat(now time.Time, h *wire.Heartbeat) (response peer.Response, handled bool) {
	holdsLease := n.leadership.HoldsLease(now)
	if !n.leadership.InGracePeriod(now, n.grace) {
		return peer.Response{}, false
	}
	answer, outcome := n.leader.HandleHeartbeat(now, h, holdsLease)
	switch outcome {
	case leader.HeartbeatFromLaterTerm:
		n.leadership.Revoke()
		return peer.Response{}, false
	case leader.HeartbeatStale:
		return peer.ErrorResponse(http.StatusServiceUnavailable, "older than what is known"), true
	}
	return peer.Response{Status: http.StatusOK, Heartbeat: &answer}, true
}

// startRequest gives a request to the leader's state, and returns where its result will
// come. Without the lease it does nothing and returns nil: users are answered only by the
// node that certainly leads.
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

// awaitResult waits until a request has its result, which may take a commit.
func awaitResult(ctx context.Context, leadership *election.Leadership, result <-chan peer.Response) peer.Response {
	timer := time.NewTimer(tuning.SubmitTimeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if !response.IsTerminal() && !leadership.HoldsLease(time.Now()) {
			// The process may have been suspended since, and another leader have told
			// the user something newer.
			return peer.ErrorResponse(http.StatusServiceUnavailable, "no longer the leader")
		}
		return response
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.ErrorResponse(http.StatusServiceUnavailable, "state service does not answer")
}

// jobResponse is the leader's response about a job.
func jobResponse(job string, r leader.JobResponse) peer.Response {
	if r.Status/100 != 2 {
		return refusal(r.Status, r.Reason, r.RetryAfter)
	}
	status := &wire.JobStatus{ID: job, State: r.State, Done: r.CompletedTasks, Running: r.RunningTasks}
	return peer.Response{Status: r.Status, Job: status}
}

// refusal is a response other than success, with the time after which to come back.
func refusal(status int, reason string, retryAfter int) peer.Response {
	response := peer.ErrorResponse(status, reason)
	response.RetryAfter = retryAfter
	return response
}
