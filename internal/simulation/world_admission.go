package simulation

import (
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// operatorSettings are the operators' settings of a node: of the previous version, and of one
// where admission control or drains are off, without them.
func (sim *Simulation) operatorSettings(n *node) config.Operator {
	o := sim.Operator
	if n.previousVersion || n.admissionOff {
		o.Admission = nil
	}
	if n.previousVersion || n.drainsOff {
		o.Drains = nil
	}
	return o
}

// AdmissionOff turns admission control off at the first nodes.
func (sim *Simulation) AdmissionOff(nodes int) {
	for _, n := range sim.nodes[:nodes] {
		n.admissionOff = true
	}
}

// admissionGate is the node's gate, nil if admission control is off there.
func (sim *Simulation) admissionGate(n *node) *admission.Gate {
	operator := sim.operatorSettings(n)
	settings := operator.AdmissionSettings(&sim.Params)
	if settings == nil {
		return nil
	}
	if n.gate == nil {
		n.gate = admission.NewGate(settings, uint64(n.incarnation)+1)
	}
	return n.gate
}

// admissionCheck is the way of a submission through the gate of the node that it has reached.
type admissionCheck struct {
	sim     *Simulation
	gate    *admission.Gate
	request *admission.Request
	claim   *admission.Claim
	refused *leader.Response
}

// recordResponse lets the gate remember what a user is told.
func (check *admissionCheck) recordResponse(now time.Time, v leader.Response) {
	switch {
	case check.gate == nil:
	case v.Status == http.StatusTooManyRequests:
		check.sim.Observed[ShedByLeader]++
		check.gate.RecordRejected(now, check.request)
	case v.Status/100 == 2:
		check.gate.RecordAdmitted(check.request)
	}
}

// admit takes a submission through the gate of the node reached, as the real node does.
func (sim *Simulation) admit(target, leading *node, r request) *admissionCheck {
	gate := sim.admissionGate(target)
	if !r.submission || gate == nil {
		return &admissionCheck{sim: sim}
	}
	operator := sim.operatorSettings(target)
	settings := operator.AdmissionSettings(&sim.Params)
	p := &admissionCheck{sim: sim, gate: gate}
	p.request = leader.AdmissionRequest(settings, r.job)
	isNew := gate.RecordArrival(sim.now, p.request)
	p.claim = &admission.Claim{WaitedMS: p.request.Waited.Milliseconds()}
	if target == leading {
		return p
	}
	if isNew && leader.AboveLimit(sim.Params.Teams, r.job) == "" {
		decision, revision := gate.Decide(sim.now, p.request)
		if !decision.Admitted {
			sim.Observed[ShedByFollower]++
			gate.RecordRejected(sim.now, p.request)
			p.refused = &leader.Response{Status: http.StatusTooManyRequests, RetryAfter: decision.RetryAfter}
			return p
		}
		p.claim.Revision = revision
	}
	gate.RecordAdmitted(p.request)
	return p
}

// updateAdmission tells a leader what all nodes are offered, and the others its policy.
func (sim *Simulation) updateAdmission(n *node, p *leader.Leader) {
	gate := sim.admissionGate(n)
	if gate == nil {
		return
	}
	offers := []admission.NodeOffers{gate.Offers(n.name)}
	for _, other := range sim.nodes {
		if o, heard := n.peerOffers[other.name]; heard {
			offers = append(offers, o)
		}
	}
	p.UpdateAdmission(sim.clock(n), sim.now, 0, offers)
}

// ExchangeNodeHeartbeats lets all nodes tell each other, every heartbeat interval, the leader's
// policy and what they are offered. Heartbeats between nodes that can't reach each other
// are held up, and come late and in any order.
func (sim *Simulation) ExchangeNodeHeartbeats() {
	for _, n := range sim.nodes {
		for _, other := range sim.nodes {
			if n != other && n.up && sim.now.After(n.frozenUntil) {
				sim.sendNodeHeartbeat(n, other)
			}
		}
	}
	sim.after(tuning.HeartbeatInterval, sim.ExchangeNodeHeartbeats)
}

func (sim *Simulation) sendNodeHeartbeat(from, to *node) {
	gate := sim.admissionGate(from)
	if gate == nil {
		return
	}
	offers := gate.Offers(from.name)
	var policy *admission.Policy
	if from.leader != nil && from.leadership.HoldsLease(sim.clock(from)) {
		policy = from.leader.AdmissionPolicy()
	}
	sim.trace(boundaryNodeHeartbeat, from, to.name, offers, policy)
	delay := sim.between(1, 20)
	if sim.partitionedPairs[[2]int{min(from.id, to.id), max(from.id, to.id)}] {
		delay += sim.between(500, 20_000)
	}
	sim.onNode(to, delay, func() {
		to.peerOffers[from.name] = offers
		if receiver := sim.admissionGate(to); receiver != nil && policy != nil {
			receiver.ApplyPolicy(sim.clock(to), *policy)
		}
	})
}

// SubmissionOutcome is what became of a submission whose user keeps to the protocol.
type SubmissionOutcome struct {
	Job         *wire.Job
	SubmittedAt time.Duration // since the start
	Accepted    bool
	// SettledAt is when it was accepted, or given up after the users' patience.
	SettledAt time.Duration
	Tries     int
}

// SubmitWithPatience lets a user submit a job as the protocol says: he comes back when he is
// told to, for a minute in total, and asks about the job once it is accepted.
func (sim *Simulation) SubmitWithPatience(after time.Duration, j *wire.Job, done func(SubmissionOutcome)) {
	sim.after(after, func() {
		sim.uploadedJobs[j.ID] = j
		sim.Invariants.JobSubmitted(j)
		sim.submitPatiently(&SubmissionOutcome{Job: j, SubmittedAt: sim.now.Sub(sim.start)}, done)
	})
}

// patientPollLoop lets a user ask about a job, and seldom once he has heard that it is over.
func (sim *Simulation) patientPollLoop(j *wire.Job) {
	sim.sendRequest(sim.anyNode(), sim.query(j, func(v leader.Response) {
		pause := sim.between(3000, 6000)
		if v.IsTerminal() {
			pause *= 5
		}
		sim.after(pause, func() { sim.patientPollLoop(j) })
	}))
}

func (sim *Simulation) submitPatiently(o *SubmissionOutcome, done func(SubmissionOutcome)) {
	o.Tries++
	sim.sendRequest(sim.anyNode(), sim.submission(o.Job, func(v leader.Response) {
		o.SettledAt = sim.now.Sub(sim.start)
		pause := max(time.Duration(v.RetryAfter)*time.Second, time.Second) + sim.between(0, 300)
		switch {
		case v.Status/100 == 2:
			o.Accepted = true
			done(*o)
			sim.patientPollLoop(o.Job)
		case o.SettledAt+pause-o.SubmittedAt > tuning.AdmissionPatience:
			done(*o)
		default:
			sim.after(pause, func() { sim.submitPatiently(o, done) })
		}
	}))
}
