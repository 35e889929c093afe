package simulation

import (
	"cmp"
	"net/http"
	"slices"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
)

// AdmissionOff turns admission control off at the first nodes.
func (sim *Simulation) AdmissionOff(nodes int) {
	for _, n := range sim.nodes[:nodes] {
		n.admissionOff = true
	}
}

// admissionSettings are the node's settings of admission control, nil if it is off.
func (n *node) admissionSettings() *admission.Settings {
	operator := n.settings()
	return operator.AdmissionSettings(&n.sim.Params)
}

// admissionGate is the node's gate, nil if admission control is off there.
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

// admissionCheck is a submission's passage through the gate of the node that it has reached.
type admissionCheck struct {
	sim     *Simulation
	gate    *admission.Gate // nil if there is nothing to check
	request *admission.Request
	claim   *admission.Claim
	refused *leader.JobResponse
}

// admit takes a request through the gate of the node reached, as the real node does.
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
			check.refuse(decision)
			return check
		}
		check.claim.Revision = revision
	}
	gate.RecordAdmitted(check.request)
	return check
}

// refuse turns the submission away at a follower.
func (check *admissionCheck) refuse(decision admission.Decision) {
	check.sim.Observed[ShedByFollower]++
	check.gate.RecordRejected(check.sim.now, check.request)
	check.refused = &leader.JobResponse{Status: http.StatusTooManyRequests, RetryAfter: decision.RetryAfterS}
}

// recordResponse lets the gate record the leader's response.
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

// updateAdmission tells a leader the offered load of all nodes.
func (n *node) updateAdmission(l *leader.Leader) {
	gate := n.admissionGate()
	if gate == nil {
		return
	}
	offers := []admission.NodeOfferedLoad{gate.OfferedLoad(n.name)}
	for _, other := range n.sim.nodes {
		if offer, known := n.peerOffers[other.name]; known {
			offers = append(offers, offer)
		}
	}
	l.UpdateAdmission(n.clock(), n.sim.now, 0, offers)
}

// ExchangeNodeHeartbeats lets all nodes send each other, every heartbeat interval, their offered
// load and the leader's policy. Heartbeats between partitioned nodes are delayed, and arrive in
// any order.
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
		to.peerOffers[n.name] = offers
		if receiver := to.admissionGate(); receiver != nil && policy != nil {
			receiver.ApplyPolicy(to.clock(), *policy)
		}
	})
}

// withSortedLoads returns an offered load in the order of teams and classes. A node sends it in any
// order, which must not enter the trace digest.
func withSortedLoads(l admission.NodeOfferedLoad) admission.NodeOfferedLoad {
	l.Loads = slices.SortedFunc(slices.Values(l.Loads), func(a, b admission.OfferedLoad) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return l
}
