package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
)

// Fault is a kind of fault.
type Fault int

// Faults.
const (
	NodeCrash                   Fault = iota
	AllNodesCrash                     // all at once
	NodesFlap                         // back within a fraction of a second, also amid an election, and down again
	StateOutage                       // for all
	StateRefused                      // for one node
	StateSlow                         // for all
	LeaderStateUnreachable            // the leader loses the state service
	LeaderFrozen                      // the leader stands still while its clocks run on
	LeaderIsolated                    // and the other controllers, but not its workers
	NodesPartitioned                  // two can't reach each other
	ZonePartitioned                   // a zone is cut off from everything, messages are held
	MachinePartitioned                // no network; messages may come late
	MachineAnswersLost                // its reports arrive, answers and commands don't get there
	MachineHangs                      // and goes on later
	MachineDies                       // it dies, or is taken without a notice
	SpotReclaimed                     // spot machines, with a notice
	WorkerReplaced                    // a new worker on the same machine knows nothing
	MachineReportsLost                // it reaches no controller, direct commands reach it
	FastBoots                         // new machines are up within two seconds
	LeaderRefused                     // the state service answers 503 to the leader alone
	OutageAfterCancellation           // and then to everybody, for longer than a cancellation may take
	Successions                       // ten in two minutes
	AnswersToWritesLost               // transactions are carried out at once, their answers are lost
	WritesLate                        // or they are carried out late, after newer ones
	ReportsDuplicatedLate             // copies arrive again, up to some leases later
	ReportsReplayedToNextLeader       // or just as the next leader begins
	FollowUpQueries                   // users ask everywhere at every news
	RunningJobsCancelled              // many jobs, some of whose machines hang
	CancelledAtCompletion             // just as their last task ends
	InvalidSubmissions                // repeated, senseless or impossible ones
	numberOfFaults              = iota
)

// InjectFaults injects random faults of the given kinds, or of all, until faults end.
func (w *World) InjectFaults(kinds ...Fault) {
	var next func()
	next = func() {
		if !w.faultsAllowed() {
			return
		}
		kind := Fault(w.rng.IntN(numberOfFaults))
		if len(kinds) > 0 {
			kind = kinds[w.rng.IntN(len(kinds))]
		}
		w.injectForRandomTime(kind)
		w.after(time.Duration(float64(w.between(1000, 30_000))/w.FaultRate), next)
	}
	w.after(w.between(1000, 20_000), next)
}

// injectForRandomTime lets a fault begin, at a place and for a time that are drawn.
func (w *World) injectForRandomTime(kind Fault) { w.Inject(kind, w.between(1000, 40_000)) }

// At does something at a time of the day.
func (w *World) At(d time.Duration, do func()) { w.after(w.start.Add(d).Sub(w.now), do) }

// Soon does something right after what happens now.
func (w *World) Soon(do func()) { w.after(0, do) }

// leaders does something to every node that leads, or still thinks so.
func (w *World) leaders(do func(*node)) {
	for _, n := range w.nodes {
		if n.leader != nil {
			do(n)
		}
	}
}

// Inject lets a fault begin, at a place that is drawn.
func (w *World) Inject(kind Fault, span time.Duration) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	names := w.workerNames()
	var m *worker
	if len(names) > 0 {
		m = w.workers[names[w.rng.IntN(len(names))]]
	}
	switch {
	case kind < MachinePartitioned:
		w.injectNodeFault(kind, n, span)
	case kind <= MachineReportsLost:
		if m != nil {
			w.injectMachineFault(kind, m, span)
		}
	case kind <= Successions:
		w.injectServiceFault(kind, span)
	default:
		w.injectRequestFault(kind, span)
	}
}

// injectNodeFault lets something befall the controllers, or what they can reach.
func (w *World) injectNodeFault(kind Fault, n *node, span time.Duration) {
	until := w.now.Add(span)
	switch kind {
	case NodeCrash:
		w.crash(n, w.drawDownTime())
	case AllNodesCrash:
		w.crashAll(w.drawDownTime)
	case NodesFlap:
		for range 4 {
			w.after(w.between(0, 4000), func() { w.crash(n, w.between(1, 300)) })
		}
	case StateOutage:
		w.outage(span)
	case StateRefused:
		n.stateUnreachableUntil = until
	case LeaderStateUnreachable:
		w.leaders(func(n *node) { n.stateUnreachableUntil = until })
	case StateSlow:
		w.stateSlowUntil = until
	case LeaderFrozen:
		w.leaders(func(n *node) { n.frozenUntil = until })
	case LeaderIsolated:
		w.leaders(func(n *node) {
			w.isolateNode(n, span)
			w.reportAllTo(n)
		})
	case NodesPartitioned:
		w.partitionNodes(n, w.nodes[w.rng.IntN(len(w.nodes))], span)
	case ZonePartitioned:
		zones := w.Cloud.Type.Zones
		w.partitionZone(zones[w.rng.IntN(len(zones))], until)
	}
}

// partitionZone cuts a zone off from everything.
func (w *World) partitionZone(zone string, until time.Time) {
	w.partitionedZone, w.partitionedZoneUntil = zone, until
	for _, n := range w.nodes {
		if n.zone == zone {
			n.stateUnreachableUntil = until
		}
	}
}

// injectMachineFault lets something befall one machine, or the spot machines.
func (w *World) injectMachineFault(kind Fault, m *worker, span time.Duration) {
	switch kind {
	case MachinePartitioned:
		m.partitionedUntil = w.now.Add(span)
	case MachineAnswersLost:
		m.answersLostUntil = w.now.Add(2 * span)
	case MachineHangs:
		m.hungUntil = w.now.Add(span)
	case MachineDies:
		w.remove(m.ID)
	case SpotReclaimed:
		w.reclaimSpot()
	case WorkerReplaced:
		w.restart(m)
	case MachineReportsLost:
		m.reportsLostUntil = w.now.Add(2 * span)
	}
}

// reclaimSpot takes half of the spot machines back, with a notice.
func (w *World) reclaimSpot() {
	for _, id := range w.workerNames() {
		if m := w.workers[id]; m.Offer.Spot && w.chance(0.5) {
			notice := 5.0
			m.Notice, m.Changed = &notice, true
			w.after(w.between(2500, 7500), func() { w.remove(id) })
		}
	}
}

// injectServiceFault lets something befall the cloud, or the leader with the state service.
func (w *World) injectServiceFault(kind Fault, span time.Duration) {
	switch kind {
	case FastBoots:
		w.Cloud.FastUntil = w.now.Add(span)
	case LeaderRefused:
		w.leaders(func(n *node) { n.refusedUntil = w.now.Add(span) })
	case OutageAfterCancellation:
		w.outageAfterCancellation()
	case Successions:
		for i := range 10 {
			w.after(time.Duration(i)*w.between(11_000, 13_000), func() { w.CrashLeader(w.drawDownTime()) })
		}
	}
}

// injectRequestFault lets something befall messages, or users ask for it.
func (w *World) injectRequestFault(kind Fault, span time.Duration) {
	until := w.now.Add(span)
	switch kind {
	case AnswersToWritesLost:
		w.writesLost = messageFault{0.5, until}
	case WritesLate:
		w.writesLate = messageFault{0.3, until}
	case ReportsDuplicatedLate:
		w.reportsLate = messageFault{0.5, until}
	case ReportsReplayedToNextLeader:
		w.reportsForNext = messageFault{0.5, until}
	case FollowUpQueries:
		w.FollowUps(span)
	case RunningJobsCancelled:
		w.CancelRunning(3, span/2)
	case CancelledAtCompletion:
		w.CancelAtCompletion(0.3, span)
	case InvalidSubmissions:
		w.InvalidRequests(span)
	}
}

// BootTrouble lets new machines, for a time, come up late or never.
func (w *World) BootTrouble(span time.Duration) { w.Cloud.TroubledUntil = w.now.Add(span) }

// SlowLinks makes messages between workers and controllers slow for a time.
func (w *World) SlowLinks(span time.Duration) { w.slowLinksUntil = w.now.Add(span) }

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

// drawDownTime draws the time for which an ended process is away.
func (w *World) drawDownTime() time.Duration { return w.between(50, 5000) }

// PartitionHolders cuts a share of the machines that tasks are on, at least one, off
// from everything.
func (w *World) PartitionHolders(share float64, span time.Duration) {
	w.eachHolder(share, HolderPartitioned, func(m *worker) { m.partitionedUntil = w.now.Add(span) })
}

// DropAnswersToHolders lets the reports of such machines arrive, and nothing get back.
func (w *World) DropAnswersToHolders(share float64, span time.Duration) {
	w.eachHolder(share, HolderAnswersLost, func(m *worker) { m.answersLostUntil = w.now.Add(span) })
}

func (w *World) eachHolder(share float64, what Observation, do func(*worker)) {
	first := true
	for _, id := range w.workerNames() {
		if w.Rules.Holds(id) && (first || w.chance(share)) {
			first = false
			w.Observed[what]++
			do(w.workers[id])
		}
	}
}

// messageFault is what befalls a share of all messages until a time.
type messageFault struct {
	share float64
	until time.Time
}

// affects draws whether it befalls a message sent now.
func (w *World) affects(s messageFault) bool { return w.now.Before(s.until) && w.chance(s.share) }

// outage keeps the state service down for a time.
func (w *World) outage(span time.Duration) {
	w.State.Down = true
	if until := w.now.Add(span); until.After(w.stateDownUntil) {
		w.stateDownUntil = until
	}
	w.after(span, func() {
		if !w.now.Before(w.stateDownUntil) {
			w.State.Down = false
		}
	})
}

// reportAllTo lets all workers report to one node, as they do after it was alone.
func (w *World) reportAllTo(n *node) {
	for _, id := range w.workerNames() {
		w.workers[id].target = n.id
	}
}

// outageAfterCancellation is the overlap of faults that broke most schedulers: the state service refuses the
// leader alone, users cancel at the next leader, and then it refuses everybody
// for longer than a cancellation may take, while workers go on reporting to the
// old leader.
func (w *World) outageAfterCancellation() {
	w.leaders(func(n *node) {
		n.refusedUntil = w.now.Add(14 * time.Second)
		w.reportAllTo(n)
	})
	w.after(w.between(1900, 3000), func() { w.CancelRunning(10, 0) })
	w.after(w.between(3000, 5000), func() {
		w.outage(time.Duration((w.Params.Workers.CancelDeadlineS + 12) * float64(time.Second)))
	})
}

// partitionNodes keeps two nodes from reaching each other.
func (w *World) partitionNodes(a, b *node, span time.Duration) {
	pair := [2]int{min(a.id, b.id), max(a.id, b.id)}
	w.partitionedPairs[pair] = true
	w.after(span, func() { delete(w.partitionedPairs, pair) })
}

// isolateNode cuts a node off from the state service and all other nodes.
func (w *World) isolateNode(n *node, span time.Duration) {
	n.stateUnreachableUntil = w.now.Add(span)
	for _, other := range w.nodes {
		if n != other {
			w.partitionNodes(n, other, span)
		}
	}
}

// crash ends a process and starts it again.
func (w *World) crash(n *node, down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.incarnation++
	n.frozenUntil = time.Time{}
	n.leadership, n.leader, n.writer, n.batch = nil, nil, nil, nil
	w.after(down, func() {
		if w.faultsAllowed() && w.chance(w.VersionFlipRate) {
			n.previousVersion = !n.previousVersion
		}
		n.up = true
		n.gate, n.heard = nil, map[string]admission.NodeOffers{}
		w.nodeStep(n, n.incarnation)
	})
}
