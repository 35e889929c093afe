package kvstore

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// TestTransactionTimeout: a leader's transaction that takes far longer than usual must time out
// early, and the next one gets more time. A candidate's transaction always gets StoreTimeout.
func TestTransactionTimeout(t *testing.T) {
	const usual = 80 * time.Millisecond
	c := NewClient("127.0.0.1:1", config.KVStoreLimits{RPS: 1000, WriteRPS: 100, TxnOps: 10}, 1)
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("candidate: %v", got)
	}
	c.SetLeading(true)
	for range 20 {
		c.txnTimeout.observe(usual, nil)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeoutFactor*usual {
		t.Errorf("leader: %v", got)
	}
	c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	if got := c.txnTimeout.current(); got != 2*tuning.StoreTimeoutFactor*usual {
		t.Errorf("after one lost response: %v", got)
	}
	for range 9 {
		c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("after many lost responses: %v", got)
	}
}
