package node

import (
	"context"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
)

// admit takes a user's submission: the leader decides on its own, as it knows which jobs
// are known already; any other node applies the leader's policy first.
func (n *Node) admit(ctx context.Context, c peer.Call) peer.Response {
	now := time.Now()
	job := c.Submission()
	request, isNew := n.gate.recordArrival(now, job)
	c.Admission = &admission.Claim{WaitedMS: request.Waited.Milliseconds()}
	if response, handled := n.handleLocally(ctx, c); handled {
		return n.recordResponse(request, response)
	}
	if reason := leader.QuotaViolation(n.gate.teams, job); reason != "" {
		return n.rejectImpossible(ctx, c, reason)
	}
	if isNew {
		decision, revision := n.gate.decide(now, request)
		if !decision.Admitted {
			return n.recordResponse(request, n.rejectOverload(ctx, request, decision))
		}
		c.Admission.Revision = revision
	}
	// Whatever becomes of the response: the job may have been accepted.
	n.gate.recordAdmitted(request)
	return n.recordResponse(request, n.forward(ctx, c))
}

// rejectImpossible answers a submission that the settings rule out: as the leader says, which
// knows whether the job was accepted under other settings, or without one by the settings alone.
func (n *Node) rejectImpossible(ctx context.Context, c peer.Call, reason string) peer.Response {
	if response := n.forward(ctx, c); response.Status != http.StatusServiceUnavailable {
		return response
	}
	return peer.ErrorResponse(http.StatusUnprocessableEntity, reason)
}

// rejectOverload turns a job away. One that was turned away before may have been accepted through
// another node: the leader is asked about it first, if there are not too many.
func (n *Node) rejectOverload(ctx context.Context, r *admission.Request, d admission.Decision) peer.Response {
	if n.gate.mayQueryLeader(time.Now(), r) {
		ctx, cancel := context.WithTimeout(ctx, tuning.AdmissionCheckTimeout)
		defer cancel()
		query := peer.Call{Op: peer.OpQuery, Job: r.ID}
		if response := n.forward(ctx, query); response.Status == http.StatusOK {
			return response
		}
	}
	rejected := leader.OverloadRejection(d)
	return refusal(rejected.Status, rejected.Reason, rejected.RetryAfter)
}

// recordResponse notes what a user is told.
func (n *Node) recordResponse(r *admission.Request, response peer.Response) peer.Response {
	switch {
	case response.Status == http.StatusTooManyRequests:
		n.gate.recordRejected(time.Now(), r)
	case response.Status/100 == 2:
		n.gate.recordAdmitted(r)
	}
	return response
}
