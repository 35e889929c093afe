package node

import (
	"context"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
)

// Handle carries out a call if this node leads, and forwards it to the leader otherwise. A
// submission received from a user first passes admission control, if that is on.
func (n *Node) Handle(ctx context.Context, c peer.Call) peer.Response {
	if n.gate != nil && c.Op == peer.OpSubmit && c.Hops == 0 {
		return n.admit(ctx, c)
	}
	if response, handled := n.handleLocally(ctx, c); handled {
		return response
	}
	return n.forward(ctx, c)
}

// forward sends a call to the leader and returns its response, or 503 if it doesn't arrive
// before the caller's timeout.
func (n *Node) forward(ctx context.Context, c peer.Call) peer.Response {
	timeout := forwardTimeout(c.Op)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	response, err := n.hub.Forward(ctx, c)
	switch {
	case err != nil:
		return peer.ErrorResponse(http.StatusServiceUnavailable, "no leader within reach")
	case !response.IsTerminal() && time.Since(sent) > timeout:
		// This process may have been suspended, and the response may be outdated.
		return peer.ErrorResponse(http.StatusServiceUnavailable, "the leader's answer came late")
	}
	return response
}

// forwardTimeout returns how long a caller waits for the response to an operation.
func forwardTimeout(op peer.Operation) time.Duration {
	switch op {
	case peer.OpSubmit, peer.OpCancel, peer.OpDrain:
		return tuning.SubmitTimeout
	case peer.OpHeartbeat:
		return tuning.HeartbeatForwardTimeout
	}
	return tuning.QueryTimeout
}
