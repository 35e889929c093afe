package kvstore

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// minBurst is the least number of requests or changes that may be made at once.
const minBurst = 4

// budget is this node's share of the store's budgets. The shares of one leader and of
// all followers together stay within them.
type budget struct {
	limits    config.KVStoreLimits
	followers int
	requests  *rate.Limiter
	writes    *rate.Limiter
}

// newBudget returns a follower's share of the limits for a number of nodes.
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

// setShare sets the limiters to a leader's or a follower's share.
func (b *budget) setShare(leading bool) {
	requestShare := tuning.StoreFollowerShare / float64(b.followers)
	writeShare := (1 - tuning.StoreWriteShare) / float64(b.followers)
	if leading {
		requestShare, writeShare = tuning.StoreLeaderShare, tuning.StoreWriteShare
	}
	setLimit(b.requests, b.limits.RPS*requestShare, minBurst)
	setLimit(b.writes, b.limits.WriteRPS*writeShare, max(minBurst, b.limits.TxnOps/2))
}

// setLimit sets a rate, and half a second of it as the burst.
func setLimit(limiter *rate.Limiter, perSecond float64, leastBurst int) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(int(perSecond/2), leastBurst))
}

// awaitRequest waits until a request may be sent.
func (b *budget) awaitRequest(ctx context.Context) error {
	if err := b.requests.Wait(ctx); err != nil {
		return budgetError(err)
	}
	return nil
}

// awaitWrites waits until a number of changes may be made.
func (b *budget) awaitWrites(ctx context.Context, changes int) error {
	if err := b.writes.WaitN(ctx, changes); err != nil {
		return budgetError(err)
	}
	return nil
}

// maxOps is the number of changes that fit into one transaction and into the burst.
func (b *budget) maxOps() int { return max(1, min(b.limits.TxnOps, b.writes.Burst())-1) }

// spareWrites is the number of changes above half of the burst.
func (b *budget) spareWrites() int {
	return max(0, int(b.writes.Tokens())-b.writes.Burst()/2)
}

// budgetError says that the context ended while a request waited for its budget.
func budgetError(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }
