// Package election makes one controller at a time the leader: it holds a key
// on a lease of the state service, and raises a persistent term in the same
// transaction that takes the key. The term is the workers' token.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// LeadershipAcquired is the log message of a node that has become the leader; tools that follow
// the logs wait for it.
const LeadershipAcquired = "leadership acquired"

// LeaderRecord is the value of the leader key.
type LeaderRecord struct {
	Node  string `json:"node"`
	Nonce uint64 `json:"nonce"`
}

// Leadership is one won term.
type Leadership struct {
	Term          uint64
	LeaderVersion uint64
	TermVersion   uint64
	// WonAt is when the win was known: every earlier leader's authority had
	// ended by then.
	WonAt time.Time

	lease uint64
	until atomic.Pointer[time.Time]
	lost  atomic.Bool
}

// NewLeadership returns a term confirmed by a renewal sent at the given time.
func NewLeadership(term uint64, sent time.Time) *Leadership {
	l := &Leadership{Term: term}
	l.LeaseRenewed(sent)
	return l
}

// LeaseRenewed extends the authority by a renewal that was sent at the given time
// and has succeeded.
func (l *Leadership) LeaseRenewed(sent time.Time) {
	until := authorityFrom(sent)
	l.until.Store(&until)
}

// Revoke ends the authority for good.
func (l *Leadership) Revoke() { l.lost.Store(true) }

// HoldsLease reports whether this node certainly is the leader at now.
func (l *Leadership) HoldsLease(now time.Time) bool {
	return !l.lost.Load() && now.Before(*l.until.Load())
}

// InGracePeriod reports whether this node may still answer reports in its term: it
// has authority, or lost touch with the state service less than grace ago
// and doesn't know of a successor.
func (l *Leadership) InGracePeriod(now time.Time, grace time.Duration) bool {
	return !l.lost.Load() && now.Before(l.until.Load().Add(grace))
}

// authorityFrom is the end of the authority that a renewal sent at the given
// time gives: the lease can't end before, as seen from this clock.
func authorityFrom(sent time.Time) time.Time {
	life := time.Duration(float64(tuning.LeaderLeaseTTL) * (1 - tuning.ClockDrift))
	return sent.Add(life - tuning.LeaseSafetyMargin)
}

// NewCampaignTxn takes the leader key on a lease and raises the term, if both
// keys still have the versions read.
func NewCampaignTxn(rec LeaderRecord, term, lease, leaderVersion, termVersion uint64) wire.Txn {
	leaderValue, _ := json.Marshal(rec)
	termValue, _ := json.Marshal(kvstore.TermRecord{Term: term})
	return wire.Txn{
		If: []wire.Compare{{Key: kvstore.KeyLeader, Version: leaderVersion}, {Key: kvstore.KeyTerm, Version: termVersion}},
		Then: []wire.Mutation{
			{Put: kvstore.KeyLeader, Value: leaderValue, Lease: lease},
			{Put: kvstore.KeyTerm, Value: termValue},
		},
	}
}

// Election campaigns for one node.
type Election struct {
	Store kvstore.Store
	Node  string
	Log   zerolog.Logger
	// OnElected runs while the node leads; its context ends with the term.
	OnElected func(context.Context, *Leadership) error

	nonce uint64
	held  atomic.Bool
}

// HeldElsewhere reports whether another node held the leader key at the last
// look, which a watch keeps recent.
func (e *Election) HeldElsewhere() bool { return e.held.Load() }

// Run campaigns, leads and campaigns again until the context ends.
func (e *Election) Run(ctx context.Context) error {
	e.nonce = rand.Uint64() >> 12
	for ctx.Err() == nil {
		l, err := e.campaign(ctx)
		if err != nil {
			e.Log.Debug().Err(err).Msg("campaign failed")
			_ = ctxtime.Sleep(ctx, tuning.CampaignRetryDelay)
			continue
		}
		if l != nil {
			e.reign(ctx, l)
		}
	}
	return ctx.Err()
}

// campaign waits until the leader key is free and tries to take it once. It
// returns nil without an error when another node holds or took the key.
func (e *Election) campaign(ctx context.Context) (*Leadership, error) {
	leaderVersion, free, err := e.awaitFreeKey(ctx)
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
	l := &Leadership{Term: term + 1, lease: lease}
	txn := NewCampaignTxn(LeaderRecord{Node: e.Node, Nonce: e.nonce}, l.Term, lease, leaderVersion, termVersion)
	version, won, err := e.commitCampaign(ctx, txn, lease)
	if err != nil || !won {
		return nil, err
	}
	l.LeaderVersion, l.TermVersion = version, version
	l.WonAt = time.Now()
	l.LeaseRenewed(sent)
	return l, nil
}

// awaitFreeKey reports whether the leader key may be taken, and its version. While
// another process holds it, it waits for a change, for a bounded time.
func (e *Election) awaitFreeKey(ctx context.Context) (version uint64, free bool, err error) {
	leader, err := e.Store.Get(ctx, kvstore.KeyLeader)
	e.held.Store(false)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, true, ctxtime.Sleep(ctx, rand.N(tuning.CampaignJitter))
	}
	if err != nil {
		return 0, false, err
	}
	var holder LeaderRecord
	if err := json.Unmarshal(leader.Value, &holder); err != nil {
		return 0, false, err
	}
	// The key of this node's previous process can be taken over at once:
	// a node runs one process, so that one is dead.
	if holder.Node == e.Node && holder.Nonce != e.nonce {
		return leader.Version, true, nil
	}
	e.held.Store(holder.Node != e.Node)
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
	var rec kvstore.TermRecord
	err = json.Unmarshal(item.Value, &rec)
	return rec.Term, item.Version, err
}

// commitCampaign tries to take the leader key, and returns its version if that was won.
func (e *Election) commitCampaign(ctx context.Context, txn wire.Txn, lease uint64) (version uint64, won bool, err error) {
	res, err := e.Store.Commit(ctx, txn)
	switch {
	case err == nil:
		return res.Revision, true, nil
	case errors.Is(err, httpclient.ErrNoResponse):
		return e.settleCampaign(ctx)
	case errors.Is(err, kvstore.ErrConflict):
		err = nil
	}
	_ = e.Store.Revoke(ctx, lease)
	return 0, false, err
}

// settleCampaign finds out by reading what became of a campaign without an answer:
// either the key carries its nonce, or, should the transaction come later, nobody
// renews its lease.
func (e *Election) settleCampaign(ctx context.Context) (version uint64, won bool, err error) {
	leader, err := e.Store.Get(ctx, kvstore.KeyLeader)
	if err != nil {
		return 0, false, err
	}
	var holder LeaderRecord
	if err := json.Unmarshal(leader.Value, &holder); err != nil {
		return 0, false, err
	}
	return leader.Version, holder.Node == e.Node && holder.Nonce == e.nonce, nil
}

// reign runs Lead and renews the lease until the term is known to be over.
func (e *Election) reign(ctx context.Context, l *Leadership) {
	e.Log.Info().Uint64("term", l.Term).Msg(LeadershipAcquired)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		if err := e.OnElected(ctx, l); err != nil && ctx.Err() == nil {
			e.Log.Info().Err(err).Uint64("term", l.Term).Msg("leader loop failed")
		}
	}()
	for ctx.Err() == nil {
		sent := time.Now()
		err := e.Store.Renew(ctx, l.lease)
		switch {
		case err == nil:
			l.LeaseRenewed(sent)
			_ = ctxtime.Sleep(ctx, tuning.LeaseRenewInterval)
		case errors.Is(err, kvstore.ErrNotFound):
			e.Log.Info().Uint64("term", l.Term).Msg("leader lease lost")
			l.Revoke()
			cancel()
		default:
			_ = ctxtime.Sleep(ctx, tuning.StoreRetryDelay)
		}
		if l.lost.Load() {
			// A successor is known: keeping the state up would cost the work
			// of a leader, for nothing.
			cancel()
		}
	}
	l.Revoke()
	cancel()
	<-done
	// A term that ended by itself frees the key for the others; failing that,
	// the lease runs out.
	bg, stop := context.WithTimeout(context.Background(), tuning.LeaseRenewTimeout)
	defer stop()
	_ = e.Store.Revoke(bg, l.lease)
	e.Log.Info().Uint64("term", l.Term).Msg("leadership ended")
}
