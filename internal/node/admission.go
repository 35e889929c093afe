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

// submitWithAdmission handles a user's submission when admission control is on. If this node leads,
// it passes the submission to the leader's state, which applies admission control itself because
// it knows the accepted jobs. Any other node applies the leader's policy before it forwards the
// submission.
func (n *Node) submitWithAdmission(ctx context.Context, c peer.Call) peer.Response {
	now := time.Now()
	job := c.Submission()
	request, decidable := n.gate.recordArrival(now, job)
	c.Admission = &admission.Claim{WaitedMS: request.Waited.Milliseconds()}
	if response, handled := n.handleLocally(ctx, c); handled {
		return n.recordResponse(request, response)
	}
	if reason := leader.QuotaViolation(n.gate.teams, job); reason != "" {
		return n.rejectUnsatisfiable(ctx, c, reason)
	}
	if decidable {
		decision, revision := n.gate.decide(now, request)
		if !decision.Admitted {
			return n.recordResponse(request, n.rejectOverload(ctx, request, decision))
		}
		c.Admission.Revision = revision
	}
	// The job is recorded before the call, because the leader may accept it even if the response
	// is lost.
	n.gate.recordAdmitted(request)
	return n.recordResponse(request, n.forward(ctx, c))
}

// rejectUnsatisfiable handles a submission for a job that this node's settings make impossible. It
// still forwards the submission, because the leader may have accepted the job under other
// settings. Only if no leader responds does it reject the submission, with the given reason.
func (n *Node) rejectUnsatisfiable(ctx context.Context, c peer.Call, reason string) peer.Response {
	if response := n.forward(ctx, c); response.Status != http.StatusServiceUnavailable {
		return response
	}
	return peer.ErrorResponse(http.StatusUnprocessableEntity, reason)
}

// rejectOverload rejects a submission because of overload. The job may have been accepted through
// another node after an earlier rejection. If the limit on such queries allows it, rejectOverload
// therefore queries the leader about the job first, and returns the job's state if it was accepted.
func (n *Node) rejectOverload(ctx context.Context, r *admission.Request, d admission.Decision) peer.Response {
	if n.gate.allowLeaderQuery(time.Now(), r) {
		ctx, cancel := context.WithTimeout(ctx, tuning.AdmissionLeaderQueryTimeout)
		defer cancel()
		query := peer.Call{Op: peer.OpQuery, JobID: r.ID}
		if response := n.forward(ctx, query); response.Status == http.StatusOK {
			return response
		}
	}
	rejected := leader.OverloadRejection(d)
	return errorResponse(rejected.Status, rejected.Reason, rejected.RetryAfterS)
}

// recordResponse records in the gate whether the submission was accepted or rejected with 429, and
// returns the response unchanged.
func (n *Node) recordResponse(r *admission.Request, response peer.Response) peer.Response {
	switch {
	case response.Status == http.StatusTooManyRequests:
		n.gate.recordRejected(time.Now(), r)
	case response.Status/100 == 2:
		n.gate.recordAdmitted(r)
	}
	return response
}
