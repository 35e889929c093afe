package kvstore

import (
	"context"
	"errors"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// maxConnections is the largest number of open connections to the store.
const maxConnections = 64

// Client is the HTTP client of the key-value store.
type Client struct {
	http       *httpclient.Client
	budget     *budget
	txnTimeout transactionTimeout
}

var _ Store = (*Client)(nil)

// NewClient returns a client for addr with a follower's share of the limits.
func NewClient(addr string, limits config.KVStoreLimits, nodes int) *Client {
	return &Client{
		http:   httpclient.New(addr, maxConnections, tuning.ConnectionIdleTimeout),
		budget: newBudget(limits, nodes),
	}
}

// SetLeading selects the request budget and the transaction timeout of a leader or of a
// follower.
func (c *Client) SetLeading(leading bool) {
	c.txnTimeout.reset(leading)
	c.budget.setShare(leading)
}

// MaxOps returns the largest number of changes that one transaction may have, given the
// store's limit and the burst of the write budget.
func (c *Client) MaxOps() int { return c.budget.maxOps() }

// SpareWrites returns the number of changes that background work may make now. Half of the
// burst stays reserved for changes that users wait for.
func (c *Client) SpareWrites() int { return c.budget.spareWrites() }

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store/"+key, nil, &item)
	return item, err
}

// Commit runs one compare-and-swap transaction. With ErrConflict, the result holds the keys
// whose conditions failed.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error) {
	var result wire.TxnResult
	if txn.If == nil {
		txn.If = []wire.Compare{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Mutation{}
	}
	if err := c.budget.awaitWrites(ctx, len(txn.Then)); err != nil {
		return result, err
	}
	timeout := c.txnTimeout.current()
	sent := time.Now()
	status, err := c.do(ctx, timeout, http.MethodPost, "/multi", txn, &result)
	c.txnTimeout.observe(time.Since(sent), err)
	if err == nil && status == http.StatusConflict {
		err = ErrConflict
	}
	return result, err
}

// do sends one request within the budget and returns the response's status, 0 if there was
// no response.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	if err := c.budget.awaitRequest(ctx); err != nil {
		return 0, err
	}
	status, err := c.http.Do(ctx, timeout, method, uri, body, out)
	if err != nil {
		return status, err
	}
	if cause := errorForStatus(status); cause != nil {
		return status, &httpclient.StatusError{Method: method, URI: uri, Status: status, Err: cause}
	}
	return status, nil
}

// errorForStatus returns the error that a response's status stands for. It returns nil for
// 2xx, 409 (a condition failed) and 410.
func errorForStatus(status int) error {
	switch {
	case status/100 == 2 || status == http.StatusConflict || status == http.StatusGone:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusBadRequest:
		return ErrInvalidRequest
	}
	return httpclient.ErrNoResponse
}

// isTransient reports whether a retry of the same request may succeed.
func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, httpclient.ErrNoResponse)
}
