package simulation

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// node is a controller process: the same steps as the real one takes, driven
// by events.
type node struct {
	id                    int
	name                  string
	zone                  string
	drift                 float64
	incarnation           int // raised by every crash; what belongs to an earlier one is void
	up                    bool
	nonce                 uint64
	leader                *leader.Leader
	leadership            *election.Leadership
	lease                 uint64
	writer                *kvstore.FencedWriter
	batch                 *leader.Batch
	stateUnreachableUntil time.Time // no way to the state service until then
	refusedUntil          time.Time // the state service answers 503 to this node until then
	frozenUntil           time.Time // stands still until then, while its clocks run on
	previousVersion       bool      // runs the version before the dependent jobs
	drainsOff             bool      // its operators have not turned drains on
	admissionOff          bool      // its operators have not turned admission control on
	gate                  *admission.Gate
	heard                 map[string]admission.NodeOffers // as last told by the other nodes
	writeTokens           float64                         // changes that the write budget allows now
	writeTokensAt         time.Time
}

// nodeStep campaigns or renews.
func (w *World) nodeStep(n *node, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	again := func(d time.Duration) { w.onNode(n, d, func() { w.nodeStep(n, life) }) }
	if n.leadership != nil {
		sent := w.clock(n)
		lease := n.lease
		w.trace(edgeStateLease, n, "renew", lease)
		w.toState(n, func() error { return w.State.Renew(w.now, lease) }, func(err error) {
			switch {
			case n.leadership == nil:
			case err == nil:
				n.leadership.LeaseRenewed(sent)
			case errors.Is(err, kvstore.ErrNotFound):
				w.depose(n)
			}
			again(tuning.LeaseRenewInterval)
		})
		return
	}
	w.trace(edgeStateRead, n, kvstore.KeyLeader, kvstore.KeyTerm)
	var leader, term wire.KeyValue
	var leaderErr, termErr error
	w.toState(n, func() error {
		leader, leaderErr = w.State.Get(kvstore.KeyLeader)
		term, termErr = w.State.Get(kvstore.KeyTerm)
		return nil
	}, func(err error) {
		if err != nil || errors.Is(leaderErr, kvstore.ErrUnavailable) || errors.Is(termErr, kvstore.ErrUnavailable) {
			again(tuning.CampaignRetryDelay)
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

func (w *World) campaign(n *node, leaderVersion uint64, term wire.KeyValue, again func(time.Duration)) {
	var rec kvstore.TermRecord
	_ = json.Unmarshal(term.Value, &rec)
	sent := w.clock(n)
	var lease uint64
	// A campaign may be carried out late, even after its process has ended.
	n.nonce = w.rng.Uint64()
	record := election.LeaderRecord{Node: n.name, Nonce: n.nonce}
	won := func(version uint64) {
		w.load(n, election.NewLeadership(rec.Term+1, sent), lease, version)
		again(tuning.LeaseRenewInterval)
	}
	w.trace(edgeStateLease, n, "grant")
	w.toState(n, func() (err error) {
		lease, err = w.State.Grant(w.now, tuning.LeaderLeaseTTL)
		return err
	}, func(err error) {
		if err != nil {
			again(tuning.CampaignRetryDelay)
			return
		}
		w.transact(n, election.NewCampaignTxn(record, rec.Term+1, lease, leaderVersion, term.Version), func(res wire.TxnResult, err error) {
			switch {
			case err == nil:
				won(res.Revision)
			case errors.Is(err, httpclient.ErrNoResponse):
				// Settled by reading.
				w.trace(edgeStateRead, n, kvstore.KeyLeader)
				var got wire.KeyValue
				w.toState(n, func() (err error) {
					got, err = w.State.Get(kvstore.KeyLeader)
					return err
				}, func(err error) {
					var holder election.LeaderRecord
					if err == nil && json.Unmarshal(got.Value, &holder) == nil && holder == record {
						won(got.Version)
						return
					}
					again(tuning.CampaignRetryDelay)
				})
			default:
				again(tuning.CampaignRetryDelay)
			}
		})
	})
}

// load reads everything and starts the term.
func (w *World) load(n *node, l *election.Leadership, lease, version uint64) {
	won := w.clock(n)
	n.leadership, n.lease = l, lease
	w.toState(n, func() error { return nil }, func(err error) {
		if n.leadership != l {
			return
		}
		params := w.Params
		params.State = w.stateLimits(n)
		p := leader.New(zerolog.Nop(), params, w.operatorOf(n), l.Term, won, leader.GracePeriod(w.Params.Workers))
		for _, prefix := range leader.Prefixes {
			w.trace(edgeStateRead, n, prefix)
			items, listErr := w.State.List(prefix)
			if listErr != nil || err != nil {
				w.depose(n)
				return
			}
			for _, item := range items {
				if n.previousVersion {
					known := false
					if item, known = PreviousVersionReads(item); !known {
						continue
					}
				}
				if err := p.LoadRecord(w.clock(n), w.now, item); err != nil {
					w.err = err
				}
			}
		}
		p.FinishLoading(w.clock(n))
		p.SetMachineTypes([]wire.MachineType{w.Cloud.Type})
		n.leader = p
		w.Observed[TermBegan]++
		n.writer = kvstore.NewFencedWriter(l.Term, version, version)
		n.batch = nil
		w.writeLoop(n, p)
		w.tick(n, p)
		w.list(n, p)
		for _, deliver := range w.copiesForNextLeader {
			for _, at := range w.nodes {
				w.onNode(at, w.between(0, 50), func() { deliver(at) })
			}
		}
		w.copiesForNextLeader = nil
	})
}

// stateLimits are those of the state service that the node's version keeps to.
func (w *World) stateLimits(n *node) config.StateLimits {
	if n.previousVersion {
		return w.Params.State
	}
	return w.Params.State.Tightest()
}

func (w *World) depose(n *node) {
	if n.leadership != nil {
		n.leadership.Revoke()
	}
	if n.leader != nil {
		n.leader.Stop()
	}
	n.leadership, n.leader, n.writer, n.batch = nil, nil, nil, nil
}

// writeLoop commits the controller's changes one batch after the other.
func (w *World) writeLoop(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	if n.batch == nil {
		if n.batch = w.nextBatch(n, p); n.batch == nil {
			w.onNode(n, tuning.WriteBatchInterval, func() { w.writeLoop(n, p) })
			return
		}
		writes := n.batch.Writes
		if n.previousVersion {
			writes = PreviousVersionWrites(writes)
		}
		n.writer.Begin(writes)
	}
	w.transact(n, n.writer.Txn(), func(res wire.TxnResult, err error) {
		if n.leader == p {
			w.outcome(n, p, n.writer.Answer(res, err))
		}
	})
}

// nextBatch takes the changes to be written now.
func (w *World) nextBatch(n *node, p *leader.Leader) *leader.Batch {
	most, spare := min(8, w.stateLimits(n).TxnOps-1), w.rng.IntN(5)
	if !w.LimitWrites {
		return p.NextBatch(most, spare)
	}
	perSecond := w.stateLimits(n).WriteRPS * tuning.StoreWriteShare
	n.writeTokens = min(n.writeTokens+perSecond*w.now.Sub(n.writeTokensAt).Seconds(), perSecond/2)
	n.writeTokensAt = w.now
	if n.writeTokens < 1 {
		return nil
	}
	b := p.NextBatch(min(most, int(n.writeTokens)), max(0, int(n.writeTokens-perSecond/4)))
	if b != nil {
		n.writeTokens -= float64(len(b.Writes))
	}
	return b
}

func (w *World) outcome(n *node, p *leader.Leader, o kvstore.Outcome) {
	switch o {
	case kvstore.Applied:
		p.BatchCommitted(n.batch, n.writer.Refused())
		n.batch = nil
		w.writeLoop(n, p)
	case kvstore.ContinueSplit:
		w.writeLoop(n, p)
	case kvstore.Retry:
		w.onNode(n, tuning.StoreRetryDelay, func() { w.writeLoop(n, p) })
	case kvstore.Deposed:
		w.depose(n)
	case kvstore.OutcomeUnknown:
		w.trace(edgeStateRead, n, kvstore.KeyTerm)
		var item wire.KeyValue
		w.toState(n, func() (err error) {
			item, err = w.State.Get(kvstore.KeyTerm)
			return err
		}, func(err error) {
			if n.leader == p {
				w.outcome(n, p, n.writer.ResolveUnknown(item, err))
			}
		})
	}
}

// tick lets the controller decide and carries its cloud calls out.
func (w *World) tick(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	now := w.clock(n)
	authority := n.leadership.HoldsLease(now)
	w.updateAdmission(n, p)
	p.Tick(now, authority)
	if authority {
		p.AdvanceDrains(now, w.now)
		for _, call := range p.PlanScaling(now) {
			w.call(n, p, call)
		}
		for _, call := range p.NextDirectCalls(now) {
			w.direct(n, p, call)
		}
	}
	w.onNode(n, w.between(30, 120), func() { w.tick(n, p) })
}

// finishUpgrade brings the nodes that still run the previous version back with the
// present one.
func (w *World) finishUpgrade() {
	for _, n := range w.nodes {
		if n.previousVersion {
			n.previousVersion = false
			w.crash(n, time.Second)
		}
	}
}

// RollingUpgrade starts every node with the previous version and, from a time on, ends one
// after the other, to come back with the present one. It returns when the last
// has come back.
func (w *World) RollingUpgrade(from, every time.Duration) time.Duration {
	down := 4 * time.Second
	for i, n := range w.nodes {
		n.previousVersion = true
		w.after(from+time.Duration(i)*every, func() {
			n.previousVersion = false
			w.crash(n, down)
		})
	}
	return from + time.Duration(len(w.nodes))*every + down
}

// LowerStateLimits lets the state service's limits take effect, those to come after a time.
func (w *World) LowerStateLimits(after time.Duration) {
	w.State.Limits = w.Params.State
	w.after(after, func() { w.State.Limits = w.Params.State.Tightest() })
}
