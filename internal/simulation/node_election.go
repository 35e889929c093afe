package simulation

import (
	"encoding/json"
	"errors"
	"time"

	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// electionStep campaigns for the leadership, or renews its lease, and schedules the next step.
func (n *node) electionStep(incarnation int) {
	if !n.isRunning(incarnation) {
		return
	}
	retry := func(d time.Duration) { n.after(d, func() { n.electionStep(incarnation) }) }
	if n.leadership != nil {
		n.renewLease(retry)
		return
	}
	n.readLeader(retry)
}

// renewLease renews the leader's lease, or steps down if it has expired.
func (n *node) renewLease(retry func(time.Duration)) {
	sim, sent, lease := n.sim, n.clock(), n.lease
	sim.trace(boundaryStoreLease, n, "renew", lease)
	renew := func() error { return sim.Store.RenewLease(sim.now, lease) }
	sim.copies.answered(transactionRequest, n, func() { _ = renew() }) // nobody waits for the response
	n.callStore(renew, func(err error) {
		switch {
		case n.leadership == nil:
		case err == nil:
			n.leadership.MarkRenewed(sent)
		case errors.Is(err, kvstore.ErrNotFound):
			n.stepDown()
		}
		retry(tuning.LeaseRenewInterval)
	})
}

// readLeader reads the records of the leader and the term, and campaigns if no other node leads.
func (n *node) readLeader(retry func(time.Duration)) {
	sim := n.sim
	sim.trace(boundaryStoreRead, n, kvstore.KeyLeader, kvstore.KeyTerm)
	var holder, term wire.KeyValue
	var holderErr, termErr error
	n.callStore(func() error {
		holder, holderErr = sim.Store.Get(kvstore.KeyLeader)
		term, termErr = sim.Store.Get(kvstore.KeyTerm)
		return nil
	}, func(err error) {
		unavailable := errors.Is(holderErr, kvstore.ErrUnavailable) || errors.Is(termErr, kvstore.ErrUnavailable)
		if err != nil || unavailable {
			retry(tuning.CampaignRetryDelay)
			return
		}
		if holderErr == nil && !n.isFromEarlierIncarnation(holder) {
			retry(sim.between(100, 400))
			return
		}
		n.campaign(holder.Version, term, retry)
	})
}

// isFromEarlierIncarnation reports whether a leader's record was written by an earlier incarnation
// of the node.
func (n *node) isFromEarlierIncarnation(holder wire.KeyValue) bool {
	var record election.LeaderRecord
	_ = json.Unmarshal(holder.Value, &record) // an unreadable record counts as that of another node
	return record.Node == n.name && record.Nonce != n.nonce
}

// campaign is an attempt of a node to become the leader.
type campaign struct {
	node   *node
	record election.LeaderRecord
	term   uint64
	sent   time.Time
	lease  uint64
	retry  func(time.Duration)
}

// campaign requests a lease and then tries to become the leader.
func (n *node) campaign(leaderVersion uint64, term wire.KeyValue, retry func(time.Duration)) {
	var last kvstore.TermRecord
	_ = json.Unmarshal(term.Value, &last) // the record does not exist before the first term
	c := &campaign{node: n, term: last.Term + 1, sent: n.clock(), retry: retry}
	// The transaction may be executed late, even after its process has ended. The nonce
	// distinguishes it from the transactions of later incarnations.
	n.nonce = n.sim.rng.Uint64()
	c.record = election.LeaderRecord{Node: n.name, Nonce: n.nonce}
	n.sim.trace(boundaryStoreLease, n, "grant")
	n.callStore(func() (err error) {
		c.lease, err = n.sim.Store.GrantLease(n.sim.now, tuning.LeaderLeaseTTL)
		return err
	}, func(err error) {
		if err != nil {
			retry(tuning.CampaignRetryDelay)
			return
		}
		c.commit(leaderVersion, term.Version)
	})
}

// commit writes the records of the leader and the term.
func (c *campaign) commit(leaderVersion, termVersion uint64) {
	txn := election.NewCampaignTxn(c.record, c.term, c.lease, leaderVersion, termVersion)
	c.node.commit(txn, func(result wire.TxnResult, err error) {
		switch {
		case err == nil:
			c.startTerm(result.Revision)
		case errors.Is(err, httpclient.ErrNoResponse):
			c.resolveUnknown()
		default:
			c.retry(tuning.CampaignRetryDelay)
		}
	})
}

// resolveUnknown reads the leader's record after a transaction without a response.
func (c *campaign) resolveUnknown() {
	sim := c.node.sim
	sim.trace(boundaryStoreRead, c.node, kvstore.KeyLeader)
	var item wire.KeyValue
	c.node.callStore(func() (err error) {
		item, err = sim.Store.Get(kvstore.KeyLeader)
		return err
	}, func(err error) {
		var holder election.LeaderRecord
		if err == nil && json.Unmarshal(item.Value, &holder) == nil && holder == c.record {
			c.startTerm(item.Version)
			return
		}
		c.retry(tuning.CampaignRetryDelay)
	})
}

// startTerm starts the term that the campaign has won.
func (c *campaign) startTerm(version uint64) {
	c.node.startTerm(election.NewLeadership(c.term, c.sent), c.lease, version)
	c.retry(tuning.LeaseRenewInterval)
}
