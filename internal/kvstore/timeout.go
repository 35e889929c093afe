package kvstore

import (
	"errors"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
)

// transactionTimeout is how long the answer to a transaction is awaited. A
// leader's transactions go one after the other, and a repeat is fenced: waiting for
// one that takes many times as long as usual only delays everything that users
// wait for. Its timeout is therefore a multiple of the smoothed latency.
type transactionTimeout struct {
	mu      sync.Mutex
	leading bool
	latency time.Duration // smoothed, 0 before the first answer of the term
}

// reset begins a term or ends it.
func (t *transactionTimeout) reset(leading bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leading, t.latency = leading, 0
}

// current is the timeout of the next transaction.
func (t *transactionTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading || t.latency == 0 {
		return tuning.StoreTimeout
	}
	return min(max(tuning.StoreTimeoutFactor*t.latency, tuning.StoreTimeoutMin), tuning.StoreTimeout)
}

// observe records the latency of a transaction and its error; without an answer, the
// next one gets twice the time.
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
