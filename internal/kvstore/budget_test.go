package kvstore

import (
	"testing"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// TestSharesAddUpToTheLimits checks that the shares of one leader and all followers together
// stay within the store's limits, that a transaction always fits into the burst, and that background
// work gets at most half of the burst.
func TestSharesAddUpToTheLimits(t *testing.T) {
	limits := config.KVStoreLimits{RPS: 100, WriteRPS: 40, TxnOps: 48}
	for _, nodes := range []int{1, 2, 3, 5} {
		b := newBudget(limits, nodes)
		followers := rate.Limit(nodes - 1)
		requests, writes := followers*b.requests.Limit(), followers*b.writes.Limit()
		b.setShare(true)
		requests, writes = requests+b.requests.Limit(), writes+b.writes.Limit()
		if requests > rate.Limit(limits.RPS) || writes > rate.Limit(limits.WriteRPS) {
			t.Errorf("%d nodes: %v requests and %v writes per second, want at most the limits", nodes, requests, writes)
		}
		if b.requests.Limit() != rate.Limit(limits.RPS*tuning.StoreLeaderShare) {
			t.Errorf("%d nodes: the leader's share is %v requests per second, want StoreLeaderShare of the limit", nodes, b.requests.Limit())
		}
		if ops := b.maxTxnChanges(); ops < 1 || ops >= b.writes.Burst() {
			t.Errorf("%d nodes: a transaction may have %d changes, want at least 1 and fewer than the burst of %d", nodes, ops, b.writes.Burst())
		}
		if spare := b.backgroundWriteAllowance(); spare > b.writes.Burst()/2 {
			t.Errorf("%d nodes: background work may write %d changes, want at most half of the burst of %d", nodes, spare, b.writes.Burst())
		}
	}
}
