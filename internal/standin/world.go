package standin

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/controller"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpc"
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// World plays users, workers, cloud and state service against a few
// controllers in simulated time, with troubles drawn from a seed.
type World struct {
	Rules  *Rules
	State  *State
	Cloud  *Cloud
	Params config.Params
	// Roughness is how often troubles begin, 0 for never.
	Roughness float64

	rng     *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	nodes   []*node
	workers map[string]*worker
	jobs    map[string]*wire.Job
	err     error
	split   map[[2]int]bool // pairs of nodes that can't reach each other
	calm    time.Time       // no new trouble after
	slow    time.Time       // the state service is slow until then
	// Flips is how often a process that ends comes back with the other version.
	Flips float64
	// A zone is cut off from everything until then; inside it goes on.
	cutZone      string
	cutZoneUntil time.Time

	order                                               []*wire.Job     // as submitted
	mistaken                                            map[string]bool // jobs that fail on every machine
	stormUntil                                          time.Time       // users ask many times as often
	downUntil                                           time.Time       // the state service
	looksUntil                                          time.Time
	looked                                              map[string]bool // news at which users have looked closely
	writesLost, writesLate, reportsLate, reportsForNext shareUntil
	// kept are copies of reports for the next leader.
	kept []func(*node)
	// links are slow until then.
	slowLinks time.Time
	// Met counts what has happened, by name: a test of a meeting that did not
	// come about would show nothing.
	Met map[string]int
}

// maxSpan is the time after calm in which the last troubles end.
const maxSpan = 90 * time.Second

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// node is a controller process: the same steps as the real one takes, driven
// by events.
type node struct {
	id       int
	name     string
	zone     string
	drift    float64
	life     int // raised by every crash; what belongs to an earlier one is void
	up       bool
	nonce    uint64
	picture  *controller.Controller
	term     *election.Leadership
	lease    uint64
	writer   *store.Writer
	batch    *controller.Batch
	cutState time.Time // no way to the state service until then
	refused  time.Time // the state service answers 503 to this node until then
	frozen   time.Time // stands still until then, while its clocks run on
	former   bool      // runs the version before the chained jobs
}

type worker struct {
	*Worker
	target   int
	inFlight bool
	lastSent time.Time
	nextAt   time.Time
	cutUntil time.Time
	deafTo   time.Time // its reports arrive, answers and commands don't
	muteTo   time.Time // it reaches no controller, direct commands reach it
	hung     time.Time
	gone     bool
}

// NewWorld returns a world with the given number of controllers.
func NewWorld(seed uint64, nodes int, p config.Params, t wire.MachineType) *World {
	start := time.Unix(1_700_000_000, 0)
	w := &World{
		Rules:    NewRules(p.Teams, time.Duration(p.Workers.CancelS*float64(time.Second))),
		State:    NewState(),
		Cloud:    NewCloud(t, 4),
		Params:   p,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      start,
		start:    start,
		workers:  map[string]*worker{},
		jobs:     map[string]*wire.Job{},
		split:    map[[2]int]bool{},
		looked:   map[string]bool{},
		mistaken: map[string]bool{},
		Met:      map[string]int{},
	}
	for i := range nodes {
		n := &node{id: i, name: fmt.Sprintf("node-%d", i), zone: t.Zones[i%len(t.Zones)], up: true, drift: (w.rng.Float64() - 0.5) * 0.001}
		w.nodes = append(w.nodes, n)
		w.after(w.between(0, 100), func() { w.nodeStep(n, n.life) })
	}
	return w
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now.Add(d), w.seq, do})
}

// at does something on a node after a time: on one that stands still, once it
// goes on. What it had decided before is sent then.
func (w *World) at(n *node, d time.Duration, do func()) {
	w.after(d, func() {
		if w.now.Before(n.frozen) {
			w.at(n, n.frozen.Sub(w.now), do)
			return
		}
		do()
	})
}

// parted reports whether a cut zone lies between two places.
func (w *World) parted(a, b string) bool {
	return w.now.Before(w.cutZoneUntil) && a != b && (a == w.cutZone || b == w.cutZone)
}

// between draws a duration in milliseconds.
func (w *World) between(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from+1)) * time.Millisecond
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// clock is the node's steady clock.
func (w *World) clock(n *node) time.Time {
	passed := w.now.Sub(w.start)
	return w.start.Add(passed + time.Duration(float64(passed)*n.drift))
}

// Run plays for d; the first broken rule ends it. After calm no new trouble
// begins.
func (w *World) Run(d, calm time.Duration) error {
	w.calm = w.start.Add(calm)
	w.after(calm, w.upgrade)
	end := w.start.Add(d)
	for w.queue.Len() > 0 && w.err == nil {
		e := heap.Pop(&w.queue).(*event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		w.State.Advance(w.now)
		var ws []*Worker
		for _, id := range w.names() {
			m := w.workers[id]
			if w.now.After(m.hung) {
				m.Advance(w.now)
			}
			ws = append(ws, m.Worker)
		}
		e.do()
		if w.err == nil {
			w.err = w.Rules.Check(w.now, ws)
		}
		if settled := w.calm.Add(maxSpan); w.err == nil && w.now.After(settled) {
			if w.err = w.Rules.Forgotten(w.now, settled); w.err == nil {
				w.err = w.Rules.LeftWaiting(w.now, ws)
			}
		}
	}
	if w.err != nil {
		return fmt.Errorf("after %v: %w", w.now.Sub(w.start), w.err)
	}
	return nil
}

func (w *World) names() []string {
	var out []string
	for _, id := range w.Cloud.Names() {
		if w.workers[id] != nil {
			out = append(out, id)
		}
	}
	return out
}

// The state service, seen from a node: requests may be lost, be late by
// minutes, or be carried out and their answer lost.

func (w *World) toState(n *node, do func() error, done func(err error)) {
	life := n.life
	answer := func(d time.Duration, err error) {
		w.at(n, d, func() {
			if n.up && n.life == life {
				done(err)
			}
		})
	}
	if w.now.Before(n.frozen) {
		w.at(n, 0, func() {
			if n.up && n.life == life {
				w.toState(n, do, done)
			}
		})
		return
	}
	if w.now.Before(n.refused) {
		answer(w.between(1, 20), store.ErrRefused)
		return
	}
	if w.now.Before(n.cutState) {
		if w.chance(0.5) {
			// Held back and delivered when the cut ends, or a good while later.
			w.after(n.cutState.Sub(w.now)+w.between(0, 60_000), func() { _ = do() })
		}
		answer(tuning.StoreTimeout, httpc.ErrNoAnswer)
		return
	}
	lost := w.troubled() && w.chance(0.02)
	latency := w.between(1, 10)
	if w.now.Before(w.slow) {
		latency *= 40
	}
	w.after(latency, func() {
		err := do()
		if lost {
			answer(tuning.StoreTimeout, httpc.ErrNoAnswer)
			return
		}
		if errors.Is(err, httpc.ErrNoAnswer) {
			answer(tuning.StoreTimeout, err)
			return
		}
		answer(w.between(1, 20), err)
	})
}

// transact sends a transaction. Its answer may be lost though it is carried out
// at once, or it may be carried out late, after newer ones of the same node.
func (w *World) transact(n *node, txn wire.Txn, done func(wire.TxnResult, error)) {
	var res wire.TxnResult
	w.toState(n, func() (err error) {
		switch {
		case w.befalls(w.writesLost):
			w.Met["answer lost"]++
			_, _ = w.State.Commit(txn)
			return httpc.ErrNoAnswer
		case w.befalls(w.writesLate):
			w.Met["late transaction"]++
			w.after(w.between(2000, 12_000), func() { _, _ = w.State.Commit(txn) })
			return httpc.ErrNoAnswer
		}
		res, err = w.State.Commit(txn)
		return err
	}, func(err error) { done(res, err) })
}

func (w *World) troubled() bool { return w.Roughness > 0 && w.now.Before(w.calm) }

// nodeStep campaigns or renews.
func (w *World) nodeStep(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	again := func(d time.Duration) { w.at(n, d, func() { w.nodeStep(n, life) }) }
	if n.term != nil {
		sent := w.clock(n)
		lease := n.lease
		w.toState(n, func() error { return w.State.Renew(w.now, lease) }, func(err error) {
			switch {
			case n.term == nil:
			case err == nil:
				n.term.Confirm(sent)
			case errors.Is(err, store.ErrNotFound):
				w.depose(n)
			}
			again(tuning.RenewEvery)
		})
		return
	}
	var leader, term wire.Item
	var leaderErr, termErr error
	w.toState(n, func() error {
		leader, leaderErr = w.State.Get(store.KeyLeader)
		term, termErr = w.State.Get(store.KeyTerm)
		return nil
	}, func(err error) {
		if err != nil || errors.Is(leaderErr, store.ErrRefused) || errors.Is(termErr, store.ErrRefused) {
			again(tuning.CampaignRetry)
			return
		}
		if leaderErr == nil {
			var rec election.LeaderRecord
			_ = json.Unmarshal(leader.Value, &rec)
			if rec.Node != n.name || rec.Nonce == n.nonce {
				again(w.between(100, 400))
				return
			}
		}
		w.campaign(n, leader.Version, term, again)
	})
}

func (w *World) campaign(n *node, leaderVersion uint64, term wire.Item, again func(time.Duration)) {
	var rec store.TermRecord
	_ = json.Unmarshal(term.Value, &rec)
	sent := w.clock(n)
	var lease uint64
	// A campaign may be carried out late, even after its process has ended.
	n.nonce = w.rng.Uint64()
	record := election.LeaderRecord{Node: n.name, Nonce: n.nonce}
	won := func(version uint64) {
		w.load(n, election.NewLeadership(rec.Term+1, sent), lease, version)
		again(tuning.RenewEvery)
	}
	w.toState(n, func() (err error) {
		lease, err = w.State.Grant(w.now, tuning.LeaderTTL)
		return err
	}, func(err error) {
		if err != nil {
			again(tuning.CampaignRetry)
			return
		}
		w.transact(n, election.CampaignTxn(record, rec.Term+1, lease, leaderVersion, term.Version), func(res wire.TxnResult, err error) {
			switch {
			case err == nil:
				won(res.Revision)
			case errors.Is(err, httpc.ErrNoAnswer):
				// Settled by reading.
				var got wire.Item
				w.toState(n, func() (err error) {
					got, err = w.State.Get(store.KeyLeader)
					return err
				}, func(err error) {
					var holder election.LeaderRecord
					if err == nil && json.Unmarshal(got.Value, &holder) == nil && holder == record {
						won(got.Version)
						return
					}
					again(tuning.CampaignRetry)
				})
			default:
				again(tuning.CampaignRetry)
			}
		})
	})
}

// load reads everything and starts the term.
func (w *World) load(n *node, l *election.Leadership, lease, version uint64) {
	won := w.clock(n)
	n.term, n.lease = l, lease
	w.toState(n, func() error { return nil }, func(err error) {
		if n.term != l {
			return
		}
		params := w.Params
		params.State = w.limits(n)
		p := controller.New(zerolog.Nop(), params, config.Operator{}, l.Term, won, controller.Grace(w.Params.Workers))
		for _, prefix := range controller.Prefixes {
			items, listErr := w.State.List(prefix)
			if listErr != nil || err != nil {
				w.depose(n)
				return
			}
			for _, item := range items {
				if n.former {
					known := false
					if item, known = FormerReads(item); !known {
						continue
					}
				}
				if err := p.Load(w.clock(n), w.now, item); err != nil {
					w.err = err
				}
			}
		}
		p.Loaded(w.clock(n))
		p.SetTypes([]wire.MachineType{w.Cloud.Type})
		n.picture = p
		w.Met["term"]++
		n.writer = store.NewWriter(l.Term, version, version)
		n.batch = nil
		w.pump(n, p)
		w.tick(n, p)
		w.list(n, p)
		for _, deliver := range w.kept {
			for _, at := range w.nodes {
				w.at(at, w.between(0, 50), func() { deliver(at) })
			}
		}
		w.kept = nil
	})
}

// limits are those of the state service that the node's version keeps to.
func (w *World) limits(n *node) config.State {
	if n.former {
		return w.Params.State
	}
	return w.Params.State.Tightest()
}

func (w *World) depose(n *node) {
	if n.term != nil {
		n.term.End()
	}
	if n.picture != nil {
		n.picture.Stop()
	}
	n.term, n.picture, n.writer, n.batch = nil, nil, nil, nil
}

// pump commits the picture's changes one batch after the other.
func (w *World) pump(n *node, p *controller.Controller) {
	if n.picture != p {
		return
	}
	if n.batch == nil {
		if n.batch = p.NextBatch(min(8, w.limits(n).TxnOps-1), w.rng.IntN(5)); n.batch == nil {
			w.at(n, tuning.BatchGap, func() { w.pump(n, p) })
			return
		}
		writes := n.batch.Writes
		if n.former {
			writes = FormerWrites(writes)
		}
		n.writer.Begin(writes)
	}
	w.transact(n, n.writer.Txn(), func(res wire.TxnResult, err error) {
		if n.picture == p {
			w.outcome(n, p, n.writer.Answer(res, err))
		}
	})
}

func (w *World) outcome(n *node, p *controller.Controller, o store.Outcome) {
	switch o {
	case store.Applied:
		p.Committed(n.batch, n.writer.Refused())
		n.batch = nil
		w.pump(n, p)
	case store.Next:
		w.pump(n, p)
	case store.Again:
		w.at(n, tuning.StoreRetry, func() { w.pump(n, p) })
	case store.Deposed:
		w.depose(n)
	case store.Settle:
		var item wire.Item
		w.toState(n, func() (err error) {
			item, err = w.State.Get(store.KeyTerm)
			return err
		}, func(err error) {
			if n.picture == p {
				w.outcome(n, p, n.writer.Settled(item, err))
			}
		})
	}
}

// tick lets the picture decide and carries its cloud calls out.
func (w *World) tick(n *node, p *controller.Controller) {
	if n.picture != p {
		return
	}
	now := w.clock(n)
	authority := n.term.Authority(now)
	p.Tick(now, authority)
	if authority {
		for _, call := range p.Plan(now) {
			w.call(n, p, call)
		}
		for _, call := range p.Direct(now) {
			w.direct(n, p, call)
		}
	}
	w.at(n, w.between(30, 120), func() { w.tick(n, p) })
}

func (w *World) call(n *node, p *controller.Controller, call controller.CloudCall) {
	var names []string
	do := func() {
		if call.Op == controller.CloudRent {
			names = w.Cloud.Rent(w.now, w.rng, call.Rent)
			w.boot(names)
			return
		}
		for _, id := range call.Release {
			w.remove(id)
		}
	}
	answer := func() {
		if n.picture != p {
			return
		}
		if call.Op == controller.CloudRent {
			p.Rented(w.clock(n), call.Rent, names)
		} else {
			p.Released(w.clock(n), call.Release)
		}
	}
	w.at(n, w.between(50, 200), func() {
		if w.parted(n.zone, "") || w.troubled() && w.chance(0.1) {
			// No answer: the request may come much later; it is repeated.
			if w.chance(0.5) {
				w.after(w.between(0, 90_000), do)
			}
			w.at(n, tuning.CloudTimeout, func() {
				if n.picture == p {
					w.call(n, p, call)
				}
			})
			return
		}
		do()
		w.at(n, w.between(10, 100), answer)
	})
}

// direct carries a direct call to a worker; it may come minutes late.
func (w *World) direct(n *node, p *controller.Controller, call *controller.DirectCall) {
	done := func(d time.Duration, o controller.DirectOutcome, r *wire.Report) {
		w.at(n, d, func() {
			if n.picture == p {
				p.DirectDone(w.clock(n), call, o, r)
			}
		})
	}
	if err := w.Rules.Ordered(w.now, call.Request.Commands); err != nil && w.err == nil {
		w.err = err
	}
	m := w.workers[call.Machine]
	deliver := func(late bool) *wire.Report {
		to := w.workers[call.Machine]
		if to == nil || late && to != m {
			// A connection ends with its worker: a new one gets no late command.
			return nil
		}
		to.Commands(w.now, call.Request)
		return to.Report()
	}
	switch {
	case m == nil:
		done(tuning.DirectTimeout, controller.DirectNever, nil)
	case w.parted(n.zone, m.Offer.Zone) || w.now.Before(m.cutUntil) || w.now.Before(m.deafTo) || w.now.Before(m.hung) || w.troubled() && w.chance(0.05):
		if w.chance(0.3) {
			done(tuning.DirectTimeout, controller.DirectNever, nil)
			return
		}
		late := max(m.cutUntil.Sub(w.now), m.deafTo.Sub(w.now), m.hung.Sub(w.now), w.cutZoneUntil.Sub(w.now), 0) + w.between(0, 60_000)
		w.after(late, func() { deliver(true) })
		done(tuning.DirectTimeout, controller.DirectUnknown, nil)
	default:
		w.at(n, w.between(1, 20), func() {
			if r := deliver(false); r != nil {
				done(w.between(1, 100), controller.DirectAnswered, r)
			} else {
				done(tuning.DirectTimeout, controller.DirectUnknown, nil)
			}
		})
	}
}

func (w *World) list(n *node, p *controller.Controller) {
	if n.picture != p {
		return
	}
	asked := w.clock(n)
	lag := time.Duration(w.Params.Cloud.ListLagS * (0.5 + w.rng.Float64()) * float64(time.Second))
	rows := w.Cloud.List(w.now, lag)
	if !w.parted(n.zone, "") {
		w.at(n, w.between(20, 200), func() {
			if n.picture == p {
				p.Listed(asked, w.clock(n), rows)
			}
		})
	}
	w.at(n, w.between(2000, 4000), func() { w.list(n, p) })
}

// boot brings rented machines up when their time has come.
func (w *World) boot(names []string) {
	for _, id := range names {
		row := w.Cloud.rows[id]
		if row == nil || w.workers[id] != nil {
			continue
		}
		w.after(max(0, row.up.Sub(w.now)), func() {
			if w.Cloud.rows[id] != row || w.workers[id] != nil {
				return
			}
			row.State = wire.MachineRunning
			w.startWorker(row)
		})
	}
}

// startWorker starts the worker of a machine that is up.
func (w *World) startWorker(row *cloudRow) *worker {
	m := &worker{Worker: NewWorker(w.now, row.ListedMachine, w.Cloud.Type, time.Duration(w.Params.Workers.LeaseS*float64(time.Second)))}
	m.Jobs = func(id string) *wire.Job { return w.jobs[id] }
	m.RunTime = func(j *wire.Job) time.Duration {
		return time.Duration(j.EstimateS * (0.5 + w.rng.Float64()) * float64(time.Second))
	}
	m.Mistaken = func(id string) bool { return w.mistaken[id] }
	m.Faulty = w.troubled() && w.chance(0.05)
	m.target = w.rng.IntN(len(w.nodes))
	w.workers[m.ID] = m
	w.report(m)
	return m
}

// restart ends a machine's worker with all its tasks; a new one, which knows
// nothing, is there a moment later.
func (w *World) restart(m *worker) {
	row := w.Cloud.rows[m.ID]
	m.gone = true
	delete(w.workers, m.ID)
	w.after(w.between(50, 3000), func() {
		if row != nil && w.Cloud.rows[m.ID] == row && w.workers[m.ID] == nil {
			w.startWorker(row)
		}
	})
}

func (w *World) remove(id string) {
	delete(w.Cloud.rows, id)
	if m := w.workers[id]; m != nil {
		m.gone = true
		delete(w.workers, id)
	}
}

// report is a worker's loop: one report in flight, sent every few seconds and
// half a second after a change.
func (w *World) report(m *worker) {
	if m.gone {
		return
	}
	w.after(100*time.Millisecond, func() { w.report(m) })
	due := !w.now.Before(m.nextAt) || m.Changed && w.now.Sub(m.lastSent) >= 500*time.Millisecond
	if m.inFlight || !due || w.now.Before(m.hung) {
		return
	}
	if w.now.Before(m.muteTo) {
		// No connection: it tries the next node a second later.
		w.Met["mute"]++
		m.target = (m.target + 1) % len(w.nodes)
		m.nextAt = w.now.Add(time.Second)
		return
	}
	r := m.Report()
	m.Changed = false
	sent := w.now
	m.lastSent = sent
	m.inFlight = true
	m.nextAt = w.now.Add(time.Duration(w.Params.Workers.ReportS * (0.75 + 0.5*w.rng.Float64()) * float64(time.Second)))
	answered := false
	target := w.nodes[m.target]
	fail := func() {
		if !answered {
			answered = true
			m.inFlight = false
			m.target = (m.target + 1) % len(w.nodes)
			m.nextAt = w.now.Add(time.Second)
		}
	}
	w.after(4*time.Second, fail)
	// hand gives the report, or a copy of it, to a node. Nobody waits for the
	// answer to a copy.
	hand := func(at *node, copied bool) {
		n := w.handler(at)
		if n == nil {
			if !copied {
				w.after(w.between(1, 20), fail)
			}
			return
		}
		now := w.clock(n)
		authority := n.term.Authority(now)
		a, receipt := n.picture.Report(now, r, authority)
		switch {
		case copied && receipt == controller.Stale:
			w.Met["stale copy"]++
		case copied:
			w.Met["copy first heard"]++
		case !authority && receipt == controller.Taken:
			w.Met["answered in grace"]++
		}
		if err := w.Rules.Ordered(w.now, a.Commands); err != nil && w.err == nil {
			w.err = err
		}
		if copied {
			return
		}
		if receipt != controller.Taken {
			w.after(w.between(1, 20), fail)
			return
		}
		if w.troubled() && w.chance(0.02) {
			return
		}
		w.at(n, w.link(), func() {
			if answered || m.gone || w.parted(target.zone, m.Offer.Zone) || w.now.Before(m.cutUntil) || w.now.Before(m.deafTo) || w.now.Before(m.hung) {
				return
			}
			answered = true
			m.inFlight = false
			m.Answer(w.now, sent, r.Session, a)
		})
	}
	deliver := func() { hand(target, false) }
	if parted := w.parted(target.zone, m.Offer.Zone); parted || w.now.Before(m.cutUntil) {
		until := m.cutUntil
		if parted {
			until = w.cutZoneUntil
		}
		if w.chance(0.5) {
			w.after(until.Sub(w.now)+w.between(0, 30_000), deliver)
		}
		return
	}
	w.at(target, w.link(), deliver)
	if w.troubled() && w.chance(0.02) {
		// A late copy, by up to several leases.
		w.after(w.between(100, 90_000), deliver)
	}
	if w.befalls(w.reportsLate) {
		w.after(w.between(2000, int(3000*w.Params.Workers.LeaseS)), func() { hand(target, true) })
	}
	if w.befalls(w.reportsForNext) {
		w.kept = append(w.kept, func(at *node) { hand(at, true) })
	}
}

// link is the time that a message between a worker and a node takes.
func (w *World) link() time.Duration {
	if w.now.Before(w.slowLinks) {
		return w.between(200, 1800)
	}
	return w.between(1, 50)
}

// route finds the node whose picture answers for a request at target.
func (w *World) route(target *node, entitled func(*node) bool) *node {
	if !target.up {
		return nil
	}
	if target.picture != nil && entitled(target) {
		return target
	}
	var best *node
	for _, n := range w.nodes {
		pair := [2]int{min(n.id, target.id), max(n.id, target.id)}
		if n.up && !w.now.Before(n.frozen) && n.picture != nil && entitled(n) && !w.split[pair] && !w.parted(n.zone, target.zone) && (best == nil || n.term.Term > best.term.Term) {
			best = n
		}
	}
	return best
}

// handler finds the node that answers a worker at target.
func (w *World) handler(target *node) *node {
	grace := controller.Grace(w.Params.Workers)
	return w.route(target, func(n *node) bool { return n.term.Grace(w.clock(n), grace) })
}

// leaderFor finds the node that answers a user at target.
func (w *World) leaderFor(target *node) *node {
	return w.route(target, func(n *node) bool { return n.term.Authority(w.clock(n)) })
}

// upgrade brings the nodes that still run the former version back with the
// present one.
func (w *World) upgrade() {
	for _, n := range w.nodes {
		if n.former {
			n.former = false
			w.crash(n, time.Second)
		}
	}
}

// Roll starts every node with the former version and, from a time on, ends one
// after the other, to come back with the present one. It returns when the last
// has come back.
func (w *World) Roll(from, every time.Duration) time.Duration {
	down := 4 * time.Second
	for i, n := range w.nodes {
		n.former = true
		w.after(from+time.Duration(i)*every, func() {
			n.former = false
			w.crash(n, down)
		})
	}
	return from + time.Duration(len(w.nodes))*every + down
}

// Tighten lets the state service's limits take effect, those to come after a time.
func (w *World) Tighten(after time.Duration) {
	w.State.Limits = w.Params.State
	w.after(after, func() { w.State.Limits = w.Params.State.Tightest() })
}
