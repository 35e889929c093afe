package simulation

import (
	"cmp"
	"net/http"
	"slices"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
)

// DisableAdmission disables admission control at the given number of nodes.
func (sim *Simulation) DisableAdmission(nodes int) {
	for _, n := range sim.nodes[:nodes] {
		n.admissionDisabled = true
	}
}

// admissionSettings returns the node's settings of admission control, or nil if it is disabled.
func (n *node) admissionSettings() *admission.Settings {
	operator := n.settings()
	return operator.AdmissionSettings(&n.sim.Params)
}

// admissionGate returns the node's admission gate, or nil if admission control is disabled there.
func (n *node) admissionGate() *admission.Gate {
	settings := n.admissionSettings()
	if settings == nil {
		return nil
	}
	if n.gate == nil {
		n.gate = admission.NewGate(settings, uint64(n.incarnation)+1)
	}
	return n.gate
}

// admissionCheck is the check of a submission at the gate of the node that received it.
type admissionCheck struct {
	sim       *Simulation
	gate      *admission.Gate // nil if the request is not checked
	request   *admission.Request
	claim     *admission.Claim
	rejection *leader.JobResponse
}

// admit checks a request at the gate of the node that received it, as the real node does.
func (n *node) admit(leading *node, r request) *admissionCheck {
	check := &admissionCheck{sim: n.sim}
	gate := n.admissionGate()
	if !r.submission || gate == nil {
		return check
	}
	now := n.sim.now
	check.gate = gate
	check.request = leader.NewAdmissionRequest(n.admissionSettings(), r.job)
	isNew := gate.RecordArrival(now, check.request)
	check.claim = &admission.Claim{WaitedMS: check.request.Waited.Milliseconds()}
	if n == leading {
		return check
	}
	if isNew && leader.QuotaViolation(n.sim.Params.Teams, r.job) == "" {
		decision, revision := gate.Decide(now, check.request)
		if !decision.Admitted {
			check.reject(decision)
			return check
		}
		check.claim.Revision = revision
	}
	gate.RecordAdmitted(check.request)
	return check
}

// reject rejects the submission at a follower.
func (check *admissionCheck) reject(decision admission.Decision) {
	check.sim.Observed[ShedByFollower]++
	check.gate.RecordRejected(check.sim.now, check.request)
	check.rejection = &leader.JobResponse{Status: http.StatusTooManyRequests, RetryAfter: decision.RetryAfterS}
}

// recordResponse records the leader's response at the gate.
func (check *admissionCheck) recordResponse(response leader.JobResponse) {
	switch {
	case check.gate == nil:
	case response.Status == http.StatusTooManyRequests:
		check.sim.Observed[ShedByLeader]++
		check.gate.RecordRejected(check.sim.now, check.request)
	case succeeded(response.Status):
		check.gate.RecordAdmitted(check.request)
	}
}

// updateAdmission passes the offered load of all nodes to a leader.
func (n *node) updateAdmission(l *leader.Leader) {
	gate := n.admissionGate()
	if gate == nil {
		return
	}
	offers := []admission.NodeOfferedLoad{gate.OfferedLoad(n.name)}
	for _, other := range n.sim.nodes {
		if offer, known := n.peerLoads[other.name]; known {
			offers = append(offers, offer)
		}
	}
	l.UpdateAdmission(n.clock(), n.sim.now, 0, offers)
}

// ExchangeNodeHeartbeats makes all nodes send each other their offered load and the leader's policy
// in every heartbeat interval. Heartbeats between partitioned nodes are delayed and may be
// reordered.
func (sim *Simulation) ExchangeNodeHeartbeats() {
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			if n != other && n.up && sim.now.After(n.frozenUntil) {
				n.sendHeartbeat(other)
			}
		}
	}
	sim.after(tuning.HeartbeatInterval, sim.ExchangeNodeHeartbeats)
}

// sendHeartbeat sends the node's offered load and, if it leads, its policy to another node.
func (n *node) sendHeartbeat(to *node) {
	gate := n.admissionGate()
	if gate == nil {
		return
	}
	offers := gate.OfferedLoad(n.name)
	var policy *admission.Policy
	if n.leader != nil && n.leadership.HoldsLease(n.clock()) {
		policy = n.leader.AdmissionPolicy()
	}
	sim := n.sim
	sim.trace(boundaryNodeHeartbeat, n, to.name, withSortedLoads(offers), policy)
	delay := sim.between(1, 20)
	if sim.network.nodesPartitioned(n, to) {
		delay += sim.between(500, 20_000)
	}
	to.after(delay, func() {
		to.peerLoads[n.name] = offers
		if receiver := to.admissionGate(); receiver != nil && policy != nil {
			receiver.ApplyPolicy(to.clock(), *policy)
		}
	})
}

// withSortedLoads returns an offered load sorted by team and class. A node sends it in any order,
// which must not influence the trace digest.
func withSortedLoads(l admission.NodeOfferedLoad) admission.NodeOfferedLoad {
	l.Loads = slices.SortedFunc(slices.Values(l.Loads), func(a, b admission.OfferedLoad) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return l
}
