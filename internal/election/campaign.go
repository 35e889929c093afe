package election

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// campaign tries once to acquire the leader key. It returns nil without an error if another node
// acquires the key first, or holds it; in the latter case it returns after the key has changed
// or a timeout.
func (e *Election) campaign(ctx context.Context) (*Leadership, error) {
	leaderVersion, free, err := e.checkLeaderKey(ctx)
	if err != nil || !free {
		return nil, err
	}
	term, termVersion, err := e.readTerm(ctx)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	lease, err := e.Store.Grant(ctx, tuning.LeaderLeaseTTL)
	if err != nil {
		return nil, err
	}
	e.nonce++
	record := LeaderRecord{Node: e.Node, Nonce: e.nonce}
	leadership := &Leadership{Term: term + 1, lease: lease}
	txn := NewCampaignTxn(record, leadership.Term, lease, leaderVersion, termVersion)
	version, won, err := e.commitCampaign(ctx, txn, lease)
	if err != nil || !won {
		return nil, err
	}
	leadership.LeaderVersion, leadership.TermVersion = version, version
	leadership.WonAt = time.Now()
	leadership.MarkRenewed(sent)
	return leadership, nil
}

// checkLeaderKey reports whether the leader key can be acquired, and returns its version. If the
// key does not exist, it first sleeps for a random time, to spread simultaneous campaigns. If
// another node holds the key, it first waits up to WatchTimeout for a change.
func (e *Election) checkLeaderKey(ctx context.Context) (version uint64, free bool, err error) {
	leader, err := e.Store.Get(ctx, kvstore.KeyLeader)
	e.otherNodeLeads.Store(false)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, true, ctxtime.Sleep(ctx, rand.N(tuning.CampaignJitter))
	}
	if err != nil {
		return 0, false, err
	}
	holder, err := decodeLeader(leader.Value)
	if err != nil {
		return 0, false, err
	}
	// A key held by this node's previous process can be acquired at once: a node runs one
	// process at a time, so the previous one has ended.
	if holder.Node == e.Node && holder.Nonce != e.nonce {
		return leader.Version, true, nil
	}
	e.otherNodeLeads.Store(holder.Node != e.Node)
	return 0, false, e.Store.Watch(ctx, kvstore.KeyLeader, leader.Version, tuning.WatchTimeout)
}

// readTerm returns the last term, 0 if there was none, and the version of its key.
func (e *Election) readTerm(ctx context.Context) (term, version uint64, err error) {
	item, err := e.Store.Get(ctx, kvstore.KeyTerm)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, item.Version, nil
	}
	if err != nil {
		return 0, 0, err
	}
	record, err := decodeTerm(item.Value)
	return record.Term, item.Version, err
}

// commitCampaign commits the transaction of a campaign. If the campaign was won, it returns the
// version of the leader key.
func (e *Election) commitCampaign(ctx context.Context, txn wire.Txn, lease uint64) (version uint64, won bool, err error) {
	result, err := e.Store.Commit(ctx, txn)
	switch {
	case err == nil:
		return result.Revision, true, nil
	case errors.Is(err, httpclient.ErrNoResponse):
		return e.resolveCampaign(ctx)
	case errors.Is(err, kvstore.ErrConflict):
		err = nil // another node acquired the key first
	}
	_ = e.Store.Revoke(ctx, lease) // on an error, the lease expires by itself
	return 0, false, err
}

// resolveCampaign reads the leader key after a campaign without a response. The campaign was
// won if the key holds its nonce. If the transaction is applied after the read, nobody renews
// its lease, so the key expires.
func (e *Election) resolveCampaign(ctx context.Context) (version uint64, won bool, err error) {
	leader, err := e.Store.Get(ctx, kvstore.KeyLeader)
	if err != nil {
		return 0, false, err
	}
	holder, err := decodeLeader(leader.Value)
	if err != nil {
		return 0, false, err
	}
	return leader.Version, holder == LeaderRecord{Node: e.Node, Nonce: e.nonce}, nil
}
