package kvstore

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// TestTransactionTimeout: a leader's transaction that takes far longer than usual must time out
// before StoreTimeout, and the next one must get more time. The transaction of a node that doesn't
// lead must always get StoreTimeout.
func TestTransactionTimeout(t *testing.T) {
	const usualLatency = 80 * time.Millisecond
	c := NewClient("127.0.0.1:1", config.KVStoreLimits{RPS: 1000, WriteRPS: 100, TxnOps: 10}, 1)
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("not leading: timeout %v, want StoreTimeout", got)
	}
	c.SetLeading(true)
	for range 20 {
		c.txnTimeout.observe(usualLatency, nil)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeoutFactor*usualLatency {
		t.Errorf("leader: timeout %v, want StoreTimeoutFactor times the usual latency", got)
	}
	c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	if got := c.txnTimeout.current(); got != 2*tuning.StoreTimeoutFactor*usualLatency {
		t.Errorf("after one lost response: timeout %v, want twice the timeout before", got)
	}
	for range 9 {
		c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("after many lost responses: timeout %v, want StoreTimeout", got)
	}
}
