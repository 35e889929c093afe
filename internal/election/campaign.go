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

// campaign tries once to acquire the leader key, and returns the leadership if that succeeds. It
// returns nil without an error if another node acquires the key first. If another node already
// holds the key, campaign waits up to WatchTimeout for a change of the key, then returns nil.
func (e *Election) campaign(ctx context.Context) (*Leadership, error) {
	leaderVersion, acquirable, err := e.checkLeaderKey(ctx)
	if err != nil || !acquirable {
		return nil, err
	}
	term, termVersion, err := e.readTerm(ctx)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	lease, err := e.Store.GrantLease(ctx, tuning.LeaderLeaseTTL)
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

// checkLeaderKey reports whether the leader key can be acquired, and returns the key's version. If
// the key does not exist, checkLeaderKey sleeps for a random time before it returns, so that the
// nodes don't all campaign at once. If the key is held, it waits up to WatchTimeout for a change
// of the key.
func (e *Election) checkLeaderKey(ctx context.Context) (version uint64, acquirable bool, err error) {
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
	// A key held by this node's previous process can be acquired before its lease expires: a
	// node runs one process at a time, so the previous process has ended.
	if holder.Node == e.Node && holder.Nonce != e.nonce {
		return leader.Version, true, nil
	}
	e.otherNodeLeads.Store(holder.Node != e.Node)
	return 0, false, e.Store.Watch(ctx, kvstore.KeyLeader, leader.Version, tuning.WatchTimeout)
}

// readTerm returns the number of the last term, or 0 if there was none, and the version of the
// term key.
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

// commitCampaign commits the transaction of a campaign and reports whether the campaign was won.
// If so, it returns the version that the transaction gave to the leader and term keys.
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
	_ = e.Store.RevokeLease(ctx, lease) // on an error, the lease expires by itself
	return 0, false, err
}

// resolveCampaign finds out whether a campaign was won whose transaction got no response: it was
// won if the leader key holds the campaign's nonce. If the store applies the transaction only
// after this read, the campaign counts as lost. This node then does not renew the lease, so the
// store deletes the leader key when the lease expires.
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
