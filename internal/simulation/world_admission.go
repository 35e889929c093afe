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

// operatorOf are the operators' settings of a node: of the previous version, and of one
// where admission control or drains are off, without them.
func (w *World) operatorOf(n *node) config.Operator {
	o := w.Operator
	if n.previousVersion || n.admissionOff {
		o.Admission = nil
	}
	if n.previousVersion || n.drainsOff {
		o.Drains = nil
	}
	return o
}

// AdmissionOff turns admission control off at the first nodes.
func (w *World) AdmissionOff(nodes int) {
	for _, n := range w.nodes[:nodes] {
		n.admissionOff = true
	}
}

// gateOf is the node's gate, nil if admission control is off there.
func (w *World) gateOf(n *node) *admission.Gate {
	operator := w.operatorOf(n)
	settings := operator.AdmissionSettings(&w.Params)
	if settings == nil {
		return nil
	}
	if n.gate == nil {
		n.gate = admission.NewGate(settings, uint64(n.incarnation)+1)
	}
	return n.gate
}

// passage is the way of a submission through the gate of the node that it has reached.
type passage struct {
	world   *World
	gate    *admission.Gate
	request *admission.Request
	claim   *admission.Claim
	refused *leader.Response
}

// note lets the gate remember what a user is told.
func (p *passage) note(now time.Time, v leader.Response) {
	switch {
	case p.gate == nil:
	case v.Status == http.StatusTooManyRequests:
		p.world.Observed[ShedByLeader]++
		p.gate.RecordRejected(now, p.request)
	case v.Status/100 == 2:
		p.gate.RecordAdmitted(p.request)
	}
}

// passGate takes a submission through the gate of the node reached, as the real node does.
func (w *World) passGate(target, leading *node, r request) *passage {
	gate := w.gateOf(target)
	if !r.submission || gate == nil {
		return &passage{world: w}
	}
	operator := w.operatorOf(target)
	settings := operator.AdmissionSettings(&w.Params)
	p := &passage{world: w, gate: gate}
	p.request = leader.AdmissionRequest(settings, r.job)
	isNew := gate.RecordArrival(w.now, p.request)
	p.claim = &admission.Claim{WaitedMS: p.request.Waited.Milliseconds()}
	if target == leading {
		return p
	}
	if isNew && leader.AboveLimit(w.Params.Teams, r.job) == "" {
		decision, revision := gate.Decide(w.now, p.request)
		if !decision.Admitted {
			w.Observed[ShedByFollower]++
			gate.RecordRejected(w.now, p.request)
			p.refused = &leader.Response{Status: http.StatusTooManyRequests, RetryAfter: decision.RetryAfter}
			return p
		}
		p.claim.Revision = revision
	}
	gate.RecordAdmitted(p.request)
	return p
}

// updateAdmission tells a leader what all nodes are offered, and the others its policy.
func (w *World) updateAdmission(n *node, p *leader.Leader) {
	gate := w.gateOf(n)
	if gate == nil {
		return
	}
	offers := []admission.NodeOffers{gate.Offers(n.name)}
	for _, other := range w.nodes {
		if o, heard := n.heard[other.name]; heard {
			offers = append(offers, o)
		}
	}
	p.UpdateAdmission(w.clock(n), w.now, 0, offers)
}

// ExchangeHeartbeats lets all nodes tell each other, every heartbeat interval, the leader's
// policy and what they are offered. Heartbeats between nodes that can't reach each other
// are held up, and come late and in any order.
func (w *World) ExchangeHeartbeats() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			if n != other && n.up && w.now.After(n.frozenUntil) {
				w.heartbeat(n, other)
			}
		}
	}
	w.after(tuning.HeartbeatInterval, w.ExchangeHeartbeats)
}

func (w *World) heartbeat(from, to *node) {
	gate := w.gateOf(from)
	if gate == nil {
		return
	}
	offers := gate.Offers(from.name)
	var policy *admission.Policy
	if from.leader != nil && from.leadership.HoldsLease(w.clock(from)) {
		policy = from.leader.AdmissionPolicy()
	}
	w.trace(edgeHeartbeat, from, to.name, offers, policy)
	delay := w.between(1, 20)
	if w.partitionedPairs[[2]int{min(from.id, to.id), max(from.id, to.id)}] {
		delay += w.between(500, 20_000)
	}
	w.onNode(to, delay, func() {
		to.heard[from.name] = offers
		if receiver := w.gateOf(to); receiver != nil && policy != nil {
			receiver.ApplyPolicy(w.clock(to), *policy)
		}
	})
}

// Outcome is what became of a submission whose user keeps to the protocol.
type Outcome struct {
	Job      *wire.Job
	AskedAt  time.Duration // since the start
	Accepted bool
	// At is when it was accepted, or given up after the users' patience.
	At    time.Duration
	Tries int
}

// SubmitWithPatience lets a user submit a job as the protocol says: he comes back when he is
// told to, for a minute in total, and asks about the job once it is accepted.
func (w *World) SubmitWithPatience(after time.Duration, j *wire.Job, done func(Outcome)) {
	w.after(after, func() {
		w.jobs[j.ID] = j
		w.Rules.Submitted(j)
		w.tryWithPatience(&Outcome{Job: j, AskedAt: w.now.Sub(w.start)}, done)
	})
}

// pollSeldom lets a user ask about a job, and seldom once he has heard that it is over.
func (w *World) pollSeldom(j *wire.Job) {
	w.ask(w.anyNode(), w.question(j, func(v leader.Response) {
		pause := w.between(3000, 6000)
		if v.IsTerminal() {
			pause *= 5
		}
		w.after(pause, func() { w.pollSeldom(j) })
	}))
}

func (w *World) tryWithPatience(o *Outcome, done func(Outcome)) {
	o.Tries++
	w.ask(w.anyNode(), w.submission(o.Job, func(v leader.Response) {
		o.At = w.now.Sub(w.start)
		pause := max(time.Duration(v.RetryAfter)*time.Second, time.Second) + w.between(0, 300)
		switch {
		case v.Status/100 == 2:
			o.Accepted = true
			done(*o)
			w.pollSeldom(o.Job)
		case o.At+pause-o.AskedAt > tuning.AdmissionPatience:
			done(*o)
		default:
			w.after(pause, func() { w.tryWithPatience(o, done) })
		}
	}))
}
