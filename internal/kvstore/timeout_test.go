package kvstore

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// TestLeaderDoesNotWaitForASlowAnswer: one transaction of a leader that takes
// far longer than usual counts as unanswered soon, and the next gets more time;
// a campaign waits for its full time.
func TestLeaderDoesNotWaitForASlowAnswer(t *testing.T) {
	const usual = 80 * time.Millisecond
	c := NewClient("127.0.0.1:1", config.KVStoreLimits{RPS: 1000, WriteRPS: 100, TxnOps: 10}, 1)
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("a campaign: %v", got)
	}
	c.SetLeading(true)
	for range 20 {
		c.txnTimeout.observe(usual, nil)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeoutFactor*usual {
		t.Errorf("a leader: %v", got)
	}
	c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	if got := c.txnTimeout.current(); got != 2*tuning.StoreTimeoutFactor*usual {
		t.Errorf("after one without an answer: %v", got)
	}
	for range 9 {
		c.txnTimeout.observe(0, httpclient.ErrNoResponse)
	}
	if got := c.txnTimeout.current(); got != tuning.StoreTimeout {
		t.Errorf("after many: %v", got)
	}
}
