package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/wire"
)

// report is a worker's loop: one report in flight, sent every few seconds and
// half a second after a change.
func (w *World) report(m *worker) {
	if m.gone {
		return
	}
	w.after(100*time.Millisecond, func() { w.report(m) })
	due := !w.now.Before(m.nextAt) || m.Changed && w.now.Sub(m.lastSent) >= 500*time.Millisecond
	if m.inFlight || !due || w.now.Before(m.hungUntil) {
		return
	}
	if w.now.Before(m.reportsLostUntil) {
		w.Observed[ReportLost]++
		w.tryNextNode(m)
		return
	}
	s := &sentReport{World: w, worker: m, report: m.Report(), at: w.now}
	m.Changed = false
	m.lastSent = w.now
	m.inFlight = true
	m.nextAt = w.now.Add(time.Duration(w.Params.Workers.HeartbeatIntervalS * (0.75 + 0.5*w.rng.Float64()) * float64(time.Second)))
	s.send(w.nodes[m.target])
}

// tryNextNode lets a worker without an answer turn to the next node a second later.
func (w *World) tryNextNode(m *worker) {
	m.target = (m.target + 1) % len(w.nodes)
	m.nextAt = w.now.Add(time.Second)
}

// sentReport is one report on its way, of which copies may arrive late.
type sentReport struct {
	*World
	worker   *worker
	report   *wire.Heartbeat
	at       time.Time // when it was sent
	answered bool      // or given up
}

// send brings the report to its node, and copies of it to where the faults ask for.
func (s *sentReport) send(target *node) {
	s.after(4*time.Second, s.giveUp)
	deliver := func() { s.deliver(target, target, false) }
	zone := s.worker.Offer.Zone
	if partitioned := s.zonePartitioned(target.zone, zone); partitioned || s.now.Before(s.worker.partitionedUntil) {
		until := s.worker.partitionedUntil
		if partitioned {
			until = s.partitionedZoneUntil
		}
		if s.chance(0.5) {
			s.after(until.Sub(s.now)+s.between(0, 30_000), deliver)
		}
		return
	}
	s.onNode(target, s.linkDelay(), deliver)
	if s.faultsAllowed() && s.chance(0.02) {
		// A late copy, by up to several leases.
		s.after(s.between(100, 90_000), deliver)
	}
	if s.affects(s.reportsLate) {
		s.after(s.between(2000, int(3000*s.Params.Workers.LeaseS)), func() { s.deliver(target, target, true) })
	}
	if s.affects(s.reportsForNext) {
		s.copiesForNextLeader = append(s.copiesForNextLeader, func(at *node) { s.deliver(at, target, true) })
	}
}

// deliver gives the report, or a copy of it, to a node. Nobody waits for the
// answer to a copy.
func (s *sentReport) deliver(at, target *node, copied bool) {
	n := s.handler(at)
	if n == nil {
		if !copied {
			s.after(s.between(1, 20), s.giveUp)
		}
		return
	}
	authority := n.leadership.HoldsLease(s.clock(n))
	answer, outcome := n.leader.HandleHeartbeat(s.clock(n), s.report, authority)
	s.trace(edgeWorkerAnswer, n, s.worker.ID, answer, outcome, copied)
	s.observe(outcome, authority, copied)
	if err := s.Rules.Ordered(s.now, answer.Commands); err != nil && s.err == nil {
		s.err = err
	}
	switch {
	case copied:
	case outcome != leader.HeartbeatApplied:
		s.after(s.between(1, 20), s.giveUp)
	case s.faultsAllowed() && s.chance(0.02):
		// The answer is lost.
	default:
		s.onNode(n, s.linkDelay(), func() { s.answer(target, answer) })
	}
}

// observe counts what a test asks for by name.
func (s *sentReport) observe(outcome leader.HeartbeatOutcome, authority, copied bool) {
	switch {
	case copied && outcome == leader.HeartbeatStale:
		s.Observed[StaleCopy]++
	case copied:
		s.Observed[CopyApplied]++
	case !authority && outcome == leader.HeartbeatApplied:
		s.Observed[AnsweredInGrace]++
	}
}

// answer brings the answer back to the worker, if it still waits and can be reached.
func (s *sentReport) answer(target *node, a wire.HeartbeatResponse) {
	m := s.worker
	unreachable := s.zonePartitioned(target.zone, m.Offer.Zone) || s.now.Before(m.partitionedUntil) || s.now.Before(m.answersLostUntil) || s.now.Before(m.hungUntil)
	if s.answered || m.gone || unreachable {
		return
	}
	s.answered = true
	m.inFlight = false
	m.Answer(s.now, s.at, s.report.AgentEpoch, a)
}

func (s *sentReport) giveUp() {
	if !s.answered {
		s.answered = true
		s.worker.inFlight = false
		s.tryNextNode(s.worker)
	}
}

// linkDelay is the time that a message between a worker and a node takes.
func (w *World) linkDelay() time.Duration {
	if w.now.Before(w.slowLinksUntil) {
		return w.between(200, 1800)
	}
	return w.between(1, 50)
}

// route finds the node whose controller answers a request at target.
func (w *World) route(target *node, entitled func(*node) bool) *node {
	if !target.up {
		return nil
	}
	if target.leader != nil && entitled(target) {
		return target
	}
	var best *node
	for _, n := range w.nodes {
		pair := [2]int{min(n.id, target.id), max(n.id, target.id)}
		if n.up && !w.now.Before(n.frozenUntil) && n.leader != nil && entitled(n) && !w.partitionedPairs[pair] && !w.zonePartitioned(n.zone, target.zone) && (best == nil || n.leadership.Term > best.leadership.Term) {
			best = n
		}
	}
	return best
}

// handler finds the node that answers a worker at target.
func (w *World) handler(target *node) *node {
	grace := leader.GracePeriod(w.Params.Workers)
	return w.route(target, func(n *node) bool { return n.leadership.InGracePeriod(w.clock(n), grace) })
}

// leaderFor finds the node that answers a user at target.
func (w *World) leaderFor(target *node) *node {
	return w.route(target, func(n *node) bool { return n.leadership.HoldsLease(w.clock(n)) })
}
