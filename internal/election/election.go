// Package election makes one node at a time the leader: it holds a key on a
// lease of the key-value store, and raises a persistent term in the same
// transaction that takes the key. The term is the workers' fencing token.
package election

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
)

// nonceBits bounds a process's first nonce, so that it and those counted up from it are exact
// also for a reader that takes a JSON number for a float64.
const nonceBits = 52

// Election campaigns for one node.
type Election struct {
	Store kvstore.Store
	Node  string
	Log   zerolog.Logger
	// OnElected runs while the node leads; its context ends with the term.
	OnElected func(context.Context, *Leadership) error

	// nonce tells the campaigns of this process from each other and from those of
	// the node's previous process.
	nonce          uint64
	otherNodeLeads atomic.Bool
}

// OtherNodeLeads reports whether another node held the leader key when it was last
// read, which a watch keeps recent.
func (e *Election) OtherNodeLeads() bool { return e.otherNodeLeads.Load() }

// Run campaigns, leads and campaigns again until the context ends.
func (e *Election) Run(ctx context.Context) error {
	e.nonce = rand.Uint64() >> (64 - nonceBits)
	for ctx.Err() == nil {
		leadership, err := e.campaign(ctx)
		if err != nil {
			e.Log.Debug().Err(err).Msg("campaign failed")
			if err := ctxtime.Sleep(ctx, tuning.CampaignRetryDelay); err != nil {
				return err
			}
			continue
		}
		if leadership != nil {
			e.serveTerm(ctx, leadership)
		}
	}
	return ctx.Err()
}
