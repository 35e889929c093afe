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

// maxConnections bounds the sockets to the store.
const maxConnections = 64

// Client is the HTTP client of the key-value store.
type Client struct {
	http       *httpclient.Client
	budget     *budget
	txnTimeout transactionTimeout
}

var _ Store = (*Client)(nil)

// NewClient returns a client with a follower's share of the budgets.
func NewClient(addr string, limits config.KVStoreLimits, nodes int) *Client {
	return &Client{
		http:   httpclient.New(addr, maxConnections, tuning.ConnectionIdleTimeout),
		budget: newBudget(limits, nodes),
	}
}

// SetLeading switches between a leader's and a follower's share of the
// budgets, and between their timeouts of transactions.
func (c *Client) SetLeading(leading bool) {
	c.txnTimeout.reset(leading)
	c.budget.setShare(leading)
}

// MaxOps is the number of changes that fit into one transaction and into the
// write budget's burst.
func (c *Client) MaxOps() int { return c.budget.maxOps() }

// SpareWrites is the number of changes that can be made now with half of the burst
// left for those that users wait for.
func (c *Client) SpareWrites() int { return c.budget.spareWrites() }

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store/"+key, nil, &item)
	return item, err
}

// Commit runs one compare-and-swap transaction; ErrConflict comes with the failed keys.
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

// do sends one request within the budget, and returns the status of an answer that
// was understood.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	if err := c.budget.awaitRequest(ctx); err != nil {
		return 0, err
	}
	status, err := c.http.Do(ctx, timeout, method, uri, body, out)
	if err != nil {
		return status, err
	}
	if cause := statusCause(status); cause != nil {
		return status, &httpclient.StatusError{Method: method, URI: uri, Status: status, Err: cause}
	}
	return status, nil
}

// statusCause is what a status says of the request, nil if it was carried out as asked
// or refused by a condition.
func statusCause(status int) error {
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

// isTransient reports whether the same request may succeed when it is repeated.
func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, httpclient.ErrNoResponse)
}
