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

// admit handles a user's submission when admission control is on. The leader decides on its
// own, because it knows which jobs it has accepted already. Any other node applies the leader's
// policy before it forwards the submission.
func (n *Node) admit(ctx context.Context, c peer.Call) peer.Response {
	now := time.Now()
	job := c.Submission()
	request, isNew := n.gate.recordArrival(now, job)
	c.Admission = &admission.Claim{WaitedMS: request.Waited.Milliseconds()}
	if response, handled := n.handleLocally(ctx, c); handled {
		return n.recordResponse(request, response)
	}
	if reason := leader.QuotaViolation(n.gate.teams, job); reason != "" {
		return n.rejectUnsatisfiable(ctx, c, reason)
	}
	if isNew {
		decision, revision := n.gate.decide(now, request)
		if !decision.Admitted {
			return n.recordResponse(request, n.rejectOverload(ctx, request, decision))
		}
		c.Admission.Revision = revision
	}
	// Recorded before the call: the leader may accept the job even if its response is lost.
	n.gate.recordAdmitted(request)
	return n.recordResponse(request, n.forward(ctx, c))
}

// rejectUnsatisfiable handles a submission that the settings rule out. It forwards the
// submission, because the leader may have accepted the job under other settings, and rejects
// it for the given reason if no leader responds.
func (n *Node) rejectUnsatisfiable(ctx context.Context, c peer.Call, reason string) peer.Response {
	if response := n.forward(ctx, c); response.Status != http.StatusServiceUnavailable {
		return response
	}
	return peer.ErrorResponse(http.StatusUnprocessableEntity, reason)
}

// rejectOverload rejects a submission because of overload. A job that was rejected before may
// have been accepted through another node since, so it first queries the leader about the job,
// within the limit on such queries.
func (n *Node) rejectOverload(ctx context.Context, r *admission.Request, d admission.Decision) peer.Response {
	if n.gate.mayQueryLeader(time.Now(), r) {
		ctx, cancel := context.WithTimeout(ctx, tuning.AdmissionLeaderQueryTimeout)
		defer cancel()
		query := peer.Call{Op: peer.OpQuery, Job: r.ID}
		if response := n.forward(ctx, query); response.Status == http.StatusOK {
			return response
		}
	}
	rejected := leader.OverloadRejection(d)
	return errorResponse(rejected.Status, rejected.Reason, rejected.RetryAfter)
}

// recordResponse records whether the submission was admitted or rejected, and returns the
// response.
func (n *Node) recordResponse(r *admission.Request, response peer.Response) peer.Response {
	switch {
	case response.Status == http.StatusTooManyRequests:
		n.gate.recordRejected(time.Now(), r)
	case response.Status/100 == 2:
		n.gate.recordAdmitted(r)
	}
	return response
}
