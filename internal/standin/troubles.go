package standin

import (
	"time"
)

// Trouble is a kind of trouble.
type Trouble int

// Troubles.
const (
	NodeCrash        Trouble = iota
	NodesCrash               // all at once
	NodesFlap                // back within a fraction of a second, also amid an election, and down again
	StateOutage              // for all
	StateRefused             // for one node
	StateSlow                // for all
	LeaderCut                // the leader loses the state service
	LeaderFrozen             // the leader stands still while its clocks run on
	LeaderIsolated           // and the other controllers, but not its workers
	NodesApart               // two can't reach each other
	ZoneCut                  // a zone is cut off from everything, messages are held
	MachineCut               // no network; messages may come late
	MachineDeaf              // its reports arrive, answers and commands don't get there
	MachineHangs             // and goes on later
	MachineGone              // it dies, or is taken without a notice
	MachinesTaken            // spot machines, with a notice
	WorkerReplaced           // a new worker on the same machine knows nothing
	MachineMute              // it reaches no controller, direct commands reach it
	MachinesFast             // new machines are up within two seconds
	LeaderRefused            // the state service answers 503 to the leader alone
	LeaderGap                // and then to everybody, for longer than a cancellation may take
	Successions              // ten in two minutes
	WritesLost               // transactions are carried out at once, their answers are lost
	WritesLate               // or they are carried out late, after newer ones
	ReportsLate              // copies arrive again, up to some leases later
	ReportsForNext           // or just as the next leader begins
	CloseLooks               // users ask everywhere at every news
	CancelledNow             // many jobs, some of whose machines hang
	CancelledAtEnd           // just as their last task ends
	OddRequests              // repeated, senseless or impossible ones
	numberOfTroubles = iota
)

// Troubles draws what goes wrong until calm, of the given kinds or of all.
func (w *World) Troubles(kinds ...Trouble) {
	var next func()
	next = func() {
		if !w.troubled() {
			return
		}
		kind := Trouble(w.rng.IntN(numberOfTroubles))
		if len(kinds) > 0 {
			kind = kinds[w.rng.IntN(len(kinds))]
		}
		w.happen(kind)
		w.after(time.Duration(float64(w.between(1000, 30_000))/w.Roughness), next)
	}
	w.after(w.between(1000, 20_000), next)
}

// happen lets a trouble begin, at a place and for a time that are drawn.
func (w *World) happen(kind Trouble) { w.Happen(kind, w.between(1000, 40_000)) }

// At does something at a time of the day.
func (w *World) At(d time.Duration, do func()) { w.after(w.start.Add(d).Sub(w.now), do) }

// leaders does something to every node that leads, or still thinks so.
func (w *World) leaders(do func(*node)) {
	for _, n := range w.nodes {
		if n.picture != nil {
			do(n)
		}
	}
}

// Happen lets a trouble begin, at a place that is drawn.
func (w *World) Happen(kind Trouble, span time.Duration) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	names := w.names()
	var m *worker
	if len(names) > 0 {
		m = w.workers[names[w.rng.IntN(len(names))]]
	}
	if m == nil && kind >= MachineCut && kind <= MachineMute {
		return
	}
	switch kind {
	case NodeCrash:
		w.crash(n, w.anyDownTime())
	case NodesCrash:
		w.crashAll(w.anyDownTime)
	case NodesFlap:
		for range 4 {
			w.after(w.between(0, 4000), func() { w.crash(n, w.between(1, 300)) })
		}
	case StateOutage:
		w.outage(span)
	case StateRefused:
		n.cutState = w.now.Add(span)
	case LeaderCut:
		w.leaders(func(n *node) { n.cutState = w.now.Add(span) })
	case StateSlow:
		w.slow = w.now.Add(span)
	case LeaderFrozen:
		w.leaders(func(n *node) { n.frozen = w.now.Add(span) })
	case ZoneCut:
		w.cutZone, w.cutZoneUntil = w.Cloud.Type.Zones[w.rng.IntN(len(w.Cloud.Type.Zones))], w.now.Add(span)
		for _, n := range w.nodes {
			if n.zone == w.cutZone {
				n.cutState = w.cutZoneUntil
			}
		}
	case LeaderIsolated:
		w.leaders(func(n *node) {
			w.isolate(n, span)
			w.gather(n)
		})
	case NodesApart:
		w.part(n, w.nodes[w.rng.IntN(len(w.nodes))], span)
	case MachineCut:
		m.cutUntil = w.now.Add(span)
	case MachineDeaf:
		m.deafTo = w.now.Add(2 * span)
	case MachineHangs:
		m.hung = w.now.Add(span)
	case MachineGone:
		w.remove(m.ID)
	case MachinesTaken:
		for _, id := range names {
			if m := w.workers[id]; m.Offer.Spot && w.chance(0.5) {
				notice := 5.0
				m.Notice, m.Changed = &notice, true
				w.after(w.between(2500, 7500), func() { w.remove(id) })
			}
		}
	case WorkerReplaced:
		w.restart(m)
	case MachineMute:
		m.muteTo = w.now.Add(2 * span)
	case MachinesFast:
		w.Cloud.FastUntil = w.now.Add(span)
	case LeaderRefused:
		w.leaders(func(n *node) { n.refused = w.now.Add(span) })
	case LeaderGap:
		w.gap()
	case Successions:
		for i := range 10 {
			w.after(time.Duration(i)*w.between(11_000, 13_000), func() { w.CrashLeader(w.anyDownTime()) })
		}
	case WritesLost:
		w.writesLost = shareUntil{0.5, w.now.Add(span)}
	case WritesLate:
		w.writesLate = shareUntil{0.3, w.now.Add(span)}
	case ReportsLate:
		w.reportsLate = shareUntil{0.5, w.now.Add(span)}
	case ReportsForNext:
		w.reportsForNext = shareUntil{0.5, w.now.Add(span)}
	case CloseLooks:
		w.CloseLooks(span)
	case CancelledNow:
		w.CancelNow(3, span/2)
	case CancelledAtEnd:
		w.CancelAtEnd(0.3, span)
	case OddRequests:
		w.OddRequests(span)
	}
}

// BootTrouble lets new machines, for a time, come up late or never.
func (w *World) BootTrouble(span time.Duration) { w.Cloud.TroubledUntil = w.now.Add(span) }

// SlowLinks makes messages between workers and controllers slow for a time.
func (w *World) SlowLinks(span time.Duration) { w.slowLinks = w.now.Add(span) }

// CrashLeader ends the leader's process, to be back after a time.
func (w *World) CrashLeader(down time.Duration) {
	w.leaders(func(n *node) { w.crash(n, down) })
}

// CrashAll ends all controllers, to be back after a time.
func (w *World) CrashAll(down time.Duration) {
	w.crashAll(func() time.Duration { return down })
}

func (w *World) crashAll(down func() time.Duration) {
	for _, n := range w.nodes {
		w.crash(n, down())
	}
}

// anyDownTime draws the time for which an ended process is away.
func (w *World) anyDownTime() time.Duration { return w.between(50, 5000) }

// CutHolders cuts a share of the machines that tasks are on, at least one, off
// from everything.
func (w *World) CutHolders(share float64, span time.Duration) {
	w.holders(share, "holder cut", func(m *worker) { m.cutUntil = w.now.Add(span) })
}

// DeafenHolders lets the reports of such machines arrive, and nothing get back.
func (w *World) DeafenHolders(share float64, span time.Duration) {
	w.holders(share, "holder deaf", func(m *worker) { m.deafTo = w.now.Add(span) })
}

func (w *World) holders(share float64, what string, do func(*worker)) {
	first := true
	for _, id := range w.names() {
		if w.Rules.Holds(id) && (first || w.chance(share)) {
			first = false
			w.Met[what]++
			do(w.workers[id])
		}
	}
}

// shareUntil is what befalls a share of all messages until a time.
type shareUntil struct {
	share float64
	until time.Time
}

// befalls draws whether it befalls a message sent now.
func (w *World) befalls(s shareUntil) bool { return w.now.Before(s.until) && w.chance(s.share) }

// outage keeps the state service down for a time.
func (w *World) outage(span time.Duration) {
	w.State.Down = true
	if until := w.now.Add(span); until.After(w.downUntil) {
		w.downUntil = until
	}
	w.after(span, func() {
		if !w.now.Before(w.downUntil) {
			w.State.Down = false
		}
	})
}

// gather lets all workers report to one node, as they do after it was alone.
func (w *World) gather(n *node) {
	for _, id := range w.names() {
		w.workers[id].target = n.id
	}
}

// gap is the meeting that broke most schedulers: the state service refuses the
// leader alone, users cancel at the next leader, and then it refuses everybody
// for longer than a cancellation may take, while workers go on reporting to the
// old leader.
func (w *World) gap() {
	w.leaders(func(n *node) {
		n.refused = w.now.Add(14 * time.Second)
		w.gather(n)
	})
	w.after(w.between(1900, 3000), func() { w.CancelNow(10, 0) })
	w.after(w.between(3000, 5000), func() {
		w.outage(time.Duration((w.Params.Workers.CancelS + 12) * float64(time.Second)))
	})
}

// part keeps two nodes from reaching each other.
func (w *World) part(a, b *node, span time.Duration) {
	pair := [2]int{min(a.id, b.id), max(a.id, b.id)}
	w.split[pair] = true
	w.after(span, func() { delete(w.split, pair) })
}

// isolate cuts a node off from the state service and all other nodes.
func (w *World) isolate(n *node, span time.Duration) {
	n.cutState = w.now.Add(span)
	for _, other := range w.nodes {
		if n != other {
			w.part(n, other, span)
		}
	}
}

// crash ends a process and starts it again.
func (w *World) crash(n *node, down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.life++
	n.frozen = time.Time{}
	n.term, n.picture, n.writer, n.batch = nil, nil, nil, nil
	w.after(down, func() {
		if w.troubled() && w.chance(w.Flips) {
			n.former = !n.former
		}
		n.up = true
		w.nodeStep(n, n.life)
	})
}
