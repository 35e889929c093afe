// Package election elects one node at a time as the leader. The leader holds a key that is
// attached to a lease of the key-value store. The transaction that acquires the key also
// increments a persistent term, which is the fencing token for the workers.
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

// nonceBits bounds the first nonce of a process, so that it and its increments stay exact for
// readers that decode JSON numbers as float64.
const nonceBits = 52

// Election campaigns for the leadership on behalf of one node.
type Election struct {
	Store kvstore.Store
	Node  string
	Log   zerolog.Logger
	// OnElected is called when the node has become the leader. Its context ends with the term,
	// and the term ends when OnElected returns.
	OnElected func(context.Context, *Leadership) error

	// nonce distinguishes the campaigns of this process from each other and from those of the
	// node's previous process.
	nonce          uint64
	otherNodeLeads atomic.Bool
}

// OtherNodeLeads reports whether another node held the leader key at the last read. A watch on
// the key keeps this up to date.
func (e *Election) OtherNodeLeads() bool { return e.otherNodeLeads.Load() }

// Run campaigns and, when elected, leads for a term, and repeats this until the context ends.
func (e *Election) Run(ctx context.Context) error {
	e.nonce = rand.Uint64() >> (64 - nonceBits)
	for ctx.Err() == nil {
		leadership, err := e.campaign(ctx)
		if err != nil {
			e.Log.Debug().Err(err).Msg("leader campaign failed, retrying")
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
