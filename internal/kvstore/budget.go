package kvstore

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// minBurst is the smallest burst of the two rate limiters, in requests or in changes.
const minBurst = 4

// budget limits the rates of this node's requests and changes to the node's share of the store's
// limits. The shares of one leader and all followers add up to no more than these limits.
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
	b.setShare(false) // a follower's share
	return b
}

// setShare sets the rate limiters to the share of a leader or of a follower.
func (b *budget) setShare(leading bool) {
	requestShare := tuning.StoreFollowerShare / float64(b.followers)
	writeShare := (1 - tuning.StoreLeaderWriteShare) / float64(b.followers)
	if leading {
		requestShare, writeShare = tuning.StoreLeaderShare, tuning.StoreLeaderWriteShare
	}
	setLimit(b.requests, b.limits.RPS*requestShare, minBurst)
	setLimit(b.writes, b.limits.WriteRPS*writeShare, max(minBurst, b.limits.TxnOps/2))
}

// setLimit sets the limiter's rate, and its burst to what the rate allows in half a second, but
// at least to minimum.
func setLimit(limiter *rate.Limiter, perSecond float64, minimum int) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(int(perSecond/2), minimum))
}

// waitForRequest blocks until the budget allows one more request.
func (b *budget) waitForRequest(ctx context.Context) error {
	if err := b.requests.Wait(ctx); err != nil {
		return budgetError(err)
	}
	return nil
}

// waitForWrites blocks until the budget allows the given number of changes.
func (b *budget) waitForWrites(ctx context.Context, changes int) error {
	if err := b.writes.WaitN(ctx, changes); err != nil {
		return budgetError(err)
	}
	return nil
}

// maxTxnChanges returns the largest number of changes that a caller may put into one transaction.
// It is one less than the store's limit and the burst allow, because FencedWriter may add a write
// of the term key.
func (b *budget) maxTxnChanges() int { return max(1, min(b.limits.TxnOps, b.writes.Burst())-1) }

// backgroundWriteAllowance returns the number of changes that background work may make now.
// Half of the burst stays reserved for changes that users wait for.
func (b *budget) backgroundWriteAllowance() int {
	return max(0, int(b.writes.Tokens())-b.writes.Burst()/2)
}

// budgetError wraps the error of a rate limiter whose wait was cut short by the context's end, or
// would have lasted beyond its deadline.
func budgetError(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }
