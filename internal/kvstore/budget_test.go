package kvstore

import (
	"testing"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/tuning"
)

// TestSharesAddUpToTheLimits checks that the shares of one leader and all followers together
// stay within the store's limits, and that a transaction always fits into the burst.
func TestSharesAddUpToTheLimits(t *testing.T) {
	limits := config.KVStoreLimits{RPS: 100, WriteRPS: 40, TxnOps: 48}
	for _, nodes := range []int{1, 2, 3, 5} {
		b := newBudget(limits, nodes)
		followers := rate.Limit(nodes - 1)
		requests, writes := followers*b.requests.Limit(), followers*b.writes.Limit()
		b.setShare(true)
		requests, writes = requests+b.requests.Limit(), writes+b.writes.Limit()
		if requests > rate.Limit(limits.RPS) || writes > rate.Limit(limits.WriteRPS) {
			t.Errorf("%d nodes: %v requests and %v writes per second", nodes, requests, writes)
		}
		if b.requests.Limit() != rate.Limit(limits.RPS*tuning.StoreLeaderShare) {
			t.Errorf("%d nodes: the leader's share is %v", nodes, b.requests.Limit())
		}
		if ops := b.maxOps(); ops < 1 || ops >= b.writes.Burst() {
			t.Errorf("%d nodes: %d changes in a burst of %d", nodes, ops, b.writes.Burst())
		}
		if spare := b.spareWrites(); spare > b.writes.Burst()/2 {
			t.Errorf("%d nodes: %d spare writes of %d", nodes, spare, b.writes.Burst())
		}
	}
}
