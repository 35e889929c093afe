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

// campaign waits until the leader key is free and tries to take it once. It
// returns nil without an error when another node holds or took the key.
func (e *Election) campaign(ctx context.Context) (*Leadership, error) {
	leaderVersion, free, err := e.awaitVacancy(ctx)
	if err != nil || !free {
		return nil, err
	}
	term, termVersion, err := e.lastTerm(ctx)
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

// awaitVacancy reports whether the leader key may be taken, and its version. While
// another process holds it, it waits for a change, for a bounded time.
func (e *Election) awaitVacancy(ctx context.Context) (version uint64, free bool, err error) {
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
	// The key of this node's previous process can be taken over at once:
	// a node runs one process, so that one is dead.
	if holder.Node == e.Node && holder.Nonce != e.nonce {
		return leader.Version, true, nil
	}
	e.otherNodeLeads.Store(holder.Node != e.Node)
	return 0, false, e.Store.Watch(ctx, kvstore.KeyLeader, leader.Version, tuning.WatchTimeout)
}

// lastTerm reads the last term and the version of its key, 0 for none.
func (e *Election) lastTerm(ctx context.Context) (term, version uint64, err error) {
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

// commitCampaign tries to take the leader key, and returns its version if that was won.
func (e *Election) commitCampaign(ctx context.Context, txn wire.Txn, lease uint64) (version uint64, won bool, err error) {
	result, err := e.Store.Commit(ctx, txn)
	switch {
	case err == nil:
		return result.Revision, true, nil
	case errors.Is(err, httpclient.ErrNoResponse):
		return e.resolveCampaign(ctx)
	case errors.Is(err, kvstore.ErrConflict):
		err = nil // another node was first
	}
	_ = e.Store.Revoke(ctx, lease) // failing that, the lease expires
	return 0, false, err
}

// resolveCampaign finds out by reading whether a campaign without an answer was won:
// either the key carries its nonce, or, should the transaction be applied later, nobody
// renews its lease.
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
