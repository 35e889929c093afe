package kvstore

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// minBurst is the smallest burst of either limiter, in requests or in changes.
const minBurst = 4

// budget limits the rates of this node's requests and changes to its share of the store's
// limits. The shares of one leader and all followers add up to no more than the limits.
type budget struct {
	limits    config.KVStoreLimits
	followers int
	requests  *rate.Limiter
	writes    *rate.Limiter
}

// newBudget returns the budget of a follower in a cluster with the given number of nodes.
func newBudget(limits config.KVStoreLimits, nodes int) *budget {
	b := &budget{
		limits:    limits,
		followers: max(nodes-1, 1),
		requests:  rate.NewLimiter(1, 1),
		writes:    rate.NewLimiter(1, 1),
	}
	b.setShare(false)
	return b
}

// setShare gives the limiters the rates of a leader or of a follower.
func (b *budget) setShare(leading bool) {
	requestShare := tuning.StoreFollowerShare / float64(b.followers)
	writeShare := (1 - tuning.StoreWriteShare) / float64(b.followers)
	if leading {
		requestShare, writeShare = tuning.StoreLeaderShare, tuning.StoreWriteShare
	}
	setLimit(b.requests, b.limits.RPS*requestShare, minBurst)
	setLimit(b.writes, b.limits.WriteRPS*writeShare, max(minBurst, b.limits.TxnOps/2))
}

// setLimit sets the rate, and a burst of half a second at that rate, but at least minimum.
func setLimit(limiter *rate.Limiter, perSecond float64, minimum int) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(int(perSecond/2), minimum))
}

// awaitRequest blocks until the budget allows one more request.
func (b *budget) awaitRequest(ctx context.Context) error {
	if err := b.requests.Wait(ctx); err != nil {
		return budgetError(err)
	}
	return nil
}

// awaitWrites blocks until the budget allows the given number of changes.
func (b *budget) awaitWrites(ctx context.Context, changes int) error {
	if err := b.writes.WaitN(ctx, changes); err != nil {
		return budgetError(err)
	}
	return nil
}

// maxOps returns the largest number of changes that one transaction may have. It leaves room
// for FencedWriter's write of the term key, in the transaction and in the burst.
func (b *budget) maxOps() int { return max(1, min(b.limits.TxnOps, b.writes.Burst())-1) }

// spareWrites returns the number of changes that the budget allows now beyond half of the
// burst.
func (b *budget) spareWrites() int {
	return max(0, int(b.writes.Tokens())-b.writes.Burst()/2)
}

// budgetError wraps the error of a wait that the context ended, or would have ended, before
// the budget allowed the request.
func budgetError(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }
