package kvstore

import (
	"errors"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// transactionTimeout computes the timeout of transactions. A leader sends its transactions one
// after the other, so a slow one delays every change behind it that users wait for; and it can
// retry safely, as its transactions are fenced. A leader's timeout is therefore a multiple of
// the smoothed latency.
type transactionTimeout struct {
	mu      sync.Mutex
	leading bool
	latency time.Duration // smoothed; 0 before the first response of the term
}

// reset discards the measured latency at the start or the end of a term.
func (t *transactionTimeout) reset(leading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leading, t.latency = leading, 0
}

// current returns the timeout of the next transaction.
func (t *transactionTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading || t.latency == 0 {
		return tuning.StoreTimeout
	}
	return min(max(tuning.StoreTimeoutFactor*t.latency, tuning.StoreTimeoutMin), tuning.StoreTimeout)
}

// observe records the latency and the error of a transaction. A transaction without a response
// doubles the next timeout. Other errors are ignored.
func (t *transactionTimeout) observe(latency time.Duration, err error) {
	latency = min(latency, tuning.StoreTimeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(err, httpclient.ErrNoResponse):
		t.latency = min(2*t.latency, tuning.StoreTimeout)
	case err != nil:
	case t.latency == 0:
		t.latency = latency
	default:
		t.latency += (latency - t.latency) / tuning.StoreLatencyWindow
	}
}
