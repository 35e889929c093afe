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
	"switchshore.example/switchshore/internal/records"
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
	batch                 *records.Batch
	storeUnreachableUntil time.Time // no way to the state service until then
	storeRefusesUntil     time.Time // the state service answers 503 to this node until then
	frozenUntil           time.Time // stands still until then, while its clocks run on
	previousVersion       bool      // runs the version before the dependent jobs
	drainsOff             bool      // its operators have not turned drains on
	admissionOff          bool      // its operators have not turned admission control on
	gate                  *admission.Gate
	peerOffers            map[string]admission.NodeOffers // as last told by the other nodes
	writeTokens           float64                         // changes that the write budget allows now
	writeTokensAt         time.Time
}

// electionStep campaigns or renews.
func (sim *Simulation) electionStep(n *node, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	again := func(d time.Duration) { sim.onNode(n, d, func() { sim.electionStep(n, life) }) }
	if n.leadership != nil {
		sent := sim.clock(n)
		lease := n.lease
		sim.trace(boundaryStoreLease, n, "renew", lease)
		sim.callStore(n, func() error { return sim.Store.Renew(sim.now, lease) }, func(err error) {
			switch {
			case n.leadership == nil:
			case err == nil:
				n.leadership.LeaseRenewed(sent)
			case errors.Is(err, kvstore.ErrNotFound):
				sim.stepDown(n)
			}
			again(tuning.LeaseRenewInterval)
		})
		return
	}
	sim.trace(boundaryStoreRead, n, kvstore.KeyLeader, kvstore.KeyTerm)
	var leader, term wire.KeyValue
	var leaderErr, termErr error
	sim.callStore(n, func() error {
		leader, leaderErr = sim.Store.Get(kvstore.KeyLeader)
		term, termErr = sim.Store.Get(kvstore.KeyTerm)
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
				again(sim.between(100, 400))
				return
			}
		}
		sim.campaign(n, leader.Version, term, again)
	})
}

func (sim *Simulation) campaign(n *node, leaderVersion uint64, term wire.KeyValue, again func(time.Duration)) {
	var rec kvstore.TermRecord
	_ = json.Unmarshal(term.Value, &rec)
	sent := sim.clock(n)
	var lease uint64
	// A campaign may be carried out late, even after its process has ended.
	n.nonce = sim.rng.Uint64()
	record := election.LeaderRecord{Node: n.name, Nonce: n.nonce}
	won := func(version uint64) {
		sim.loadRecords(n, election.NewLeadership(rec.Term+1, sent), lease, version)
		again(tuning.LeaseRenewInterval)
	}
	sim.trace(boundaryStoreLease, n, "grant")
	sim.callStore(n, func() (err error) {
		lease, err = sim.Store.Grant(sim.now, tuning.LeaderLeaseTTL)
		return err
	}, func(err error) {
		if err != nil {
			again(tuning.CampaignRetryDelay)
			return
		}
		sim.commitTxn(n, election.NewCampaignTxn(record, rec.Term+1, lease, leaderVersion, term.Version), func(res wire.TxnResult, err error) {
			switch {
			case err == nil:
				won(res.Revision)
			case errors.Is(err, httpclient.ErrNoResponse):
				// Settled by reading.
				sim.trace(boundaryStoreRead, n, kvstore.KeyLeader)
				var got wire.KeyValue
				sim.callStore(n, func() (err error) {
					got, err = sim.Store.Get(kvstore.KeyLeader)
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

// loadRecords reads everything and starts the term.
func (sim *Simulation) loadRecords(n *node, l *election.Leadership, lease, version uint64) {
	won := sim.clock(n)
	n.leadership, n.lease = l, lease
	sim.callStore(n, func() error { return nil }, func(err error) {
		if n.leadership != l {
			return
		}
		params := sim.Params
		params.State = sim.storeLimits(n)
		p := leader.New(zerolog.Nop(), params, sim.operatorSettings(n), l.Term, won, leader.GracePeriod(sim.Params.Workers))
		for _, prefix := range records.LoadOrder {
			sim.trace(boundaryStoreRead, n, prefix)
			items, listErr := sim.Store.List(prefix)
			if listErr != nil || err != nil {
				sim.stepDown(n)
				return
			}
			for _, item := range items {
				if n.previousVersion {
					known := false
					if item, known = PreviousVersionReads(item); !known {
						continue
					}
				}
				if err := p.LoadRecord(sim.clock(n), sim.now, item); err != nil {
					sim.failure = err
				}
			}
		}
		p.FinishLoading(sim.clock(n))
		p.SetMachineTypes([]wire.MachineType{sim.Cloud.Type})
		n.leader = p
		sim.Observed[TermStarted]++
		n.writer = kvstore.NewFencedWriter(l.Term, version, version)
		n.batch = nil
		sim.commitLoop(n, p)
		sim.leaderTick(n, p)
		sim.listMachines(n, p)
		for _, deliver := range sim.heartbeatsForNextLeader {
			for _, at := range sim.nodes {
				sim.onNode(at, sim.between(0, 50), func() { deliver(at) })
			}
		}
		sim.heartbeatsForNextLeader = nil
	})
}

// storeLimits are those of the state service that the node's version keeps to.
func (sim *Simulation) storeLimits(n *node) config.StateLimits {
	if n.previousVersion {
		return sim.Params.State
	}
	return sim.Params.State.Tightest()
}

func (sim *Simulation) stepDown(n *node) {
	if n.leadership != nil {
		n.leadership.Revoke()
	}
	if n.leader != nil {
		n.leader.Stop()
	}
	n.leadership, n.leader, n.writer, n.batch = nil, nil, nil, nil
}

// commitLoop commits the controller's changes one batch after the other.
func (sim *Simulation) commitLoop(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	if n.batch == nil {
		if n.batch = sim.nextBatch(n, p); n.batch == nil {
			sim.onNode(n, tuning.WriteBatchInterval, func() { sim.commitLoop(n, p) })
			return
		}
		writes := n.batch.Mutations
		if n.previousVersion {
			writes = PreviousVersionWrites(writes)
		}
		n.writer.Begin(writes)
	}
	sim.commitTxn(n, n.writer.Txn(), func(res wire.TxnResult, err error) {
		if n.leader == p {
			sim.commitOutcome(n, p, n.writer.HandleResult(res, err))
		}
	})
}

// nextBatch takes the changes to be written now.
func (sim *Simulation) nextBatch(n *node, p *leader.Leader) *records.Batch {
	most, spare := min(8, sim.storeLimits(n).TxnOps-1), sim.rng.IntN(5)
	if !sim.LimitWriteRate {
		return p.NextBatch(most, spare)
	}
	perSecond := sim.storeLimits(n).WriteRPS * tuning.StoreWriteShare
	n.writeTokens = min(n.writeTokens+perSecond*sim.now.Sub(n.writeTokensAt).Seconds(), perSecond/2)
	n.writeTokensAt = sim.now
	if n.writeTokens < 1 {
		return nil
	}
	b := p.NextBatch(min(most, int(n.writeTokens)), max(0, int(n.writeTokens-perSecond/4)))
	if b != nil {
		n.writeTokens -= float64(len(b.Mutations))
	}
	return b
}

func (sim *Simulation) commitOutcome(n *node, p *leader.Leader, o kvstore.Outcome) {
	switch o {
	case kvstore.Applied:
		p.BatchCommitted(n.batch, n.writer.Refused())
		n.batch = nil
		sim.commitLoop(n, p)
	case kvstore.ContinueSplit:
		sim.commitLoop(n, p)
	case kvstore.Retry:
		sim.onNode(n, tuning.StoreRetryDelay, func() { sim.commitLoop(n, p) })
	case kvstore.Deposed:
		sim.stepDown(n)
	case kvstore.OutcomeUnknown:
		sim.trace(boundaryStoreRead, n, kvstore.KeyTerm)
		var item wire.KeyValue
		sim.callStore(n, func() (err error) {
			item, err = sim.Store.Get(kvstore.KeyTerm)
			return err
		}, func(err error) {
			if n.leader == p {
				sim.commitOutcome(n, p, n.writer.ResolveUnknown(item, err))
			}
		})
	}
}

// leaderTick lets the controller decide and carries its cloud calls out.
func (sim *Simulation) leaderTick(n *node, p *leader.Leader) {
	if n.leader != p {
		return
	}
	now := sim.clock(n)
	authority := n.leadership.HoldsLease(now)
	sim.updateAdmission(n, p)
	p.Tick(now, authority)
	if authority {
		p.AdvanceDrains(now, sim.now)
		for _, call := range p.PlanScaling(now) {
			sim.callCloud(n, p, call)
		}
		for _, call := range p.NextDirectCalls(now) {
			sim.callAgent(n, p, call)
		}
	}
	sim.onNode(n, sim.between(30, 120), func() { sim.leaderTick(n, p) })
}

// finishUpgrade brings the nodes that still run the previous version back with the
// present one.
func (sim *Simulation) finishUpgrade() {
	for _, n := range sim.nodes {
		if n.previousVersion {
			n.previousVersion = false
			sim.crash(n, time.Second)
		}
	}
}

// RollingUpgrade starts every node with the previous version and, from a time on, ends one
// after the other, to come back with the present one. It returns when the last
// has come back.
func (sim *Simulation) RollingUpgrade(from, every time.Duration) time.Duration {
	down := 4 * time.Second
	for i, n := range sim.nodes {
		n.previousVersion = true
		sim.after(from+time.Duration(i)*every, func() {
			n.previousVersion = false
			sim.crash(n, down)
		})
	}
	return from + time.Duration(len(sim.nodes))*every + down
}

// LowerStoreLimits lets the state service's limits take effect, those to come after a time.
func (sim *Simulation) LowerStoreLimits(after time.Duration) {
	sim.Store.Limits = sim.Params.State
	sim.after(after, func() { sim.Store.Limits = sim.Params.State.Tightest() })
}
