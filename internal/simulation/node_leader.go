package simulation

import (
	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/wire"
)

// startTerm loads the stored records and starts leading; version is that of the leader's record.
func (n *node) startTerm(leadership *election.Leadership, lease, version uint64) {
	electedAt := n.clock()
	n.leadership, n.lease = leadership, lease
	n.callStore(func() error { return nil }, func(err error) {
		if n.leadership != leadership {
			return
		}
		params := n.sim.Params
		params.KVStore = n.storeLimits()
		grace := leader.GracePeriod(params.Workers)
		l := leader.New(zerolog.Nop(), params, n.settings(), leadership.Term, electedAt, grace)
		if !n.loadRecords(l, err) {
			n.stepDown()
			return
		}
		n.lead(l, kvstore.NewFencedWriter(leadership.Term, version, version))
	})
}

// loadRecords loads all stored records into a new leader and reports whether they could be read;
// err is the error of the request for them.
func (n *node) loadRecords(l *leader.Leader, err error) bool {
	for _, prefix := range records.LoadOrder {
		n.sim.trace(boundaryStoreRead, n, prefix)
		items, listErr := n.sim.Store.List(prefix)
		if listErr != nil || err != nil {
			return false
		}
		for _, item := range items {
			n.loadRecord(l, item)
		}
	}
	return true
}

func (n *node) loadRecord(l *leader.Leader, item wire.KeyValue) {
	if n.previousVersion {
		readItem, readable := PreviousVersionReads(item)
		if !readable {
			return
		}
		item = readItem
	}
	if err := l.LoadRecord(n.clock(), n.sim.now, item); err != nil {
		n.sim.failure = err
	}
}

// lead starts the loops of a leader that has loaded its records.
func (n *node) lead(l *leader.Leader, writer *kvstore.FencedWriter) {
	sim := n.sim
	l.FinishLoading(n.clock())
	l.SetMachineTypes([]wire.MachineType{sim.Cloud.Type})
	n.leader, n.writer, n.batch = l, writer, nil
	sim.Observed[TermStarted]++
	n.commitLoop(l)
	n.tickLoop(l)
	n.listMachinesLoop(l)
	sim.replayHeartbeats()
}

// tickLoop runs the leader's periodic decisions and sends its calls to the cloud and to agents.
func (n *node) tickLoop(l *leader.Leader) {
	if n.leader != l {
		return
	}
	now := n.clock()
	authority := n.leadership.HoldsLease(now)
	n.updateAdmission(l)
	l.Tick(now, authority)
	if authority {
		l.AdvanceDrains(now, n.sim.now)
		for _, call := range l.PlanScaling(now) {
			n.callCloud(l, call)
		}
		for _, call := range l.NextDirectCalls(now) {
			n.callAgent(l, call)
		}
	}
	n.after(n.sim.between(30, 120), func() { n.tickLoop(l) })
}

// stepDown ends the node's leadership.
func (n *node) stepDown() {
	if n.leadership != nil {
		n.leadership.Revoke()
	}
	if n.leader != nil {
		n.leader.EndTerm()
	}
	n.clearLeadership()
}

// clearLeadership discards the state of the node's leadership.
func (n *node) clearLeadership() {
	n.leadership, n.leader, n.writer, n.batch = nil, nil, nil, nil
}
