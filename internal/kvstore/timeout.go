package kvstore

import (
	"errors"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// transactionTimeout computes the timeout of transactions. A leader sends its transactions one
// after the other, so a slow one delays all following changes, including those that users wait
// for. A leader's timeout is therefore short: a multiple of the smoothed latency. Retrying after
// it is safe, because a leader's transactions are fenced. Other nodes always use StoreTimeout.
type transactionTimeout struct {
	mu      sync.Mutex
	leading bool
	latency time.Duration // smoothed; 0 before the first response after a reset
}

// reset discards the measured latency. It is called at the start of a term with leading set, and
// at the end of the term with leading unset.
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

// observe updates the smoothed latency with the result of a transaction. A transaction without a
// response doubles the smoothed latency, and with it the next timeout. Other errors are ignored.
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
