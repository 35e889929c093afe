// Package election elects one node at a time as the leader. The leader holds a key that is
// attached to a lease of the key-value store. The transaction that acquires the key also
// increments a persistent term, which is the fencing token for the agents.
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

// nonceBits is the size of a process's first nonce. Below 53 bits, this nonce and the following
// ones stay exact for readers that decode JSON numbers as float64.
const nonceBits = 52

// Election campaigns for the leadership on behalf of one node.
type Election struct {
	Store kvstore.Store
	Node  string
	Log   zerolog.Logger
	// OnElected is called when the node has become the leader. Its context is cancelled when the
	// term ends, and the term also ends when OnElected returns.
	OnElected func(context.Context, *Leadership) error

	// nonce identifies a campaign. It differs between the campaigns of this process, and from
	// those of the node's previous process.
	nonce          uint64
	otherNodeLeads atomic.Bool
}

// OtherNodeLeads reports whether another node held the leader key when this node last read it.
// A follower reads the key again when it changes, or after WatchTimeout.
func (e *Election) OtherNodeLeads() bool { return e.otherNodeLeads.Load() }

// Run campaigns until the node is elected, then serves the term. It repeats this until the context
// ends.
func (e *Election) Run(ctx context.Context) error {
	e.nonce = rand.Uint64() >> (64 - nonceBits)
	for ctx.Err() == nil {
		leadership, err := e.campaign(ctx)
		if err != nil {
			e.Log.Debug().Err(err).Msg("campaign for leadership failed, retrying")
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
