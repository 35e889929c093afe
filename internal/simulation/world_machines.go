package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

type worker struct {
	*Worker
	target           int
	inFlight         bool
	lastSent         time.Time
	nextAt           time.Time
	partitionedUntil time.Time
	answersLostUntil time.Time // its reports arrive, answers and commands don't
	reportsLostUntil time.Time // it reaches no controller, direct commands reach it
	hungUntil        time.Time
	gone             bool
}

func (w *World) workerNames() []string {
	var out []string
	for _, id := range w.Cloud.Names() {
		if w.workers[id] != nil {
			out = append(out, id)
		}
	}
	return out
}

func (w *World) call(n *node, p *leader.Leader, call leader.CloudCall) {
	w.trace(edgeCloudCall, n, call.Op, call.Provision, call.Release)
	var names []string
	do := func() {
		if call.Op == leader.CloudProvision {
			names = w.Cloud.Rent(w.now, w.rng, call.Provision)
			w.boot(names)
			return
		}
		for _, id := range call.Release {
			w.remove(id)
		}
		if w.OnRelease != nil {
			w.OnRelease()
		}
	}
	answer := func() {
		if n.leader != p {
			return
		}
		if call.Op == leader.CloudProvision {
			p.ProvisionDone(w.clock(n), call.Provision, names)
		} else {
			p.ReleaseDone(w.clock(n), call.Release)
		}
	}
	w.onNode(n, w.between(50, 200), func() {
		if w.zonePartitioned(n.zone, "") || w.faultsAllowed() && w.chance(0.1) {
			// No answer: the request may come much later; it is repeated.
			if w.chance(0.5) {
				w.after(w.between(0, 90_000), do)
			}
			w.onNode(n, tuning.CloudTimeout, func() {
				if n.leader == p {
					w.call(n, p, call)
				}
			})
			return
		}
		do()
		w.onNode(n, w.between(10, 100), answer)
	})
}

// direct carries a direct call to a worker; it may come minutes late.
func (w *World) direct(n *node, p *leader.Leader, call *leader.DirectCall) {
	done := func(d time.Duration, o leader.DirectOutcome, r *wire.Heartbeat) {
		w.onNode(n, d, func() {
			if n.leader == p {
				p.DirectCallDone(w.clock(n), call, o, r)
			}
		})
	}
	if err := w.Rules.Ordered(w.now, call.Request.Commands); err != nil && w.err == nil {
		w.err = err
	}
	w.trace(edgeDirectCall, n, call.Machine, call.Addr, call.Request)
	m := w.workers[call.Machine]
	deliver := func(late bool) *wire.Heartbeat {
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
		done(tuning.DirectTimeout, leader.DirectNotDelivered, nil)
	case w.zonePartitioned(n.zone, m.Offer.Zone) || w.now.Before(m.partitionedUntil) || w.now.Before(m.answersLostUntil) || w.now.Before(m.hungUntil) || w.faultsAllowed() && w.chance(0.05):
		if w.chance(0.3) {
			done(tuning.DirectTimeout, leader.DirectNotDelivered, nil)
			return
		}
		late := max(m.partitionedUntil.Sub(w.now), m.answersLostUntil.Sub(w.now), m.hungUntil.Sub(w.now), w.partitionedZoneUntil.Sub(w.now), 0) + w.between(0, 60_000)
		w.after(late, func() { deliver(true) })
		done(tuning.DirectTimeout, leader.DirectUnknown, nil)
	default:
		w.onNode(n, w.between(1, 20), func() {
			if r := deliver(false); r != nil {
				done(w.between(1, 100), leader.DirectAnswered, r)
			} else {
				done(tuning.DirectTimeout, leader.DirectUnknown, nil)
			}
		})
	}
}

func (w *World) list(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	w.trace(edgeCloudCall, n, "list")
	asked := w.clock(n)
	lag := time.Duration(w.Params.Cloud.ListLagS * (0.5 + w.rng.Float64()) * float64(time.Second))
	rows := w.Cloud.List(w.now, lag)
	if !w.zonePartitioned(n.zone, "") {
		w.onNode(n, w.between(20, 200), func() {
			if n.leader == p {
				p.ApplyMachineList(asked, w.clock(n), rows)
			}
		})
	}
	w.onNode(n, w.between(2000, 4000), func() { w.list(n, p) })
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
	m.Stopped = func(t *Task, saves bool) { w.noteStop(m, t, saves) }
	m.FailsJob = func(id string) bool { return w.failingJobs[id] }
	m.Faulty = w.faultsAllowed() && w.chance(0.05)
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
