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

// MaxConnections is the largest number of open connections to the store.
const MaxConnections = 64

// Client is the HTTP client of the key-value store.
type Client struct {
	http       *httpclient.Client
	budget     *budget
	txnTimeout transactionTimeout
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the store at addr, with the share of the limits that a follower
// has in a cluster with the given number of nodes.
func NewClient(addr string, limits config.KVStoreLimits, nodes int) *Client {
	return &Client{
		http:   httpclient.New(addr, MaxConnections, tuning.ConnectionIdleTimeout),
		budget: newBudget(limits, nodes),
	}
}

// SetLeading selects the request budget and the transaction timeout of a leader or of a
// follower.
func (c *Client) SetLeading(leading bool) {
	c.txnTimeout.reset(leading)
	c.budget.setShare(leading)
}

// MaxTxnChanges returns the largest number of changes that a caller may put into one transaction,
// given the store's limit and the burst of the write budget.
func (c *Client) MaxTxnChanges() int { return c.budget.maxTxnChanges() }

// BackgroundWriteAllowance returns the number of changes that background work may make now. Half of the
// burst stays reserved for changes that users wait for.
func (c *Client) BackgroundWriteAllowance() int { return c.budget.backgroundWriteAllowance() }

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store/"+key, nil, &item)
	return item, err
}

// Commit runs one compare-and-swap transaction. If it returns ErrConflict, the result contains the
// keys whose conditions failed.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error) {
	var result wire.TxnResult
	if txn.If == nil {
		txn.If = []wire.Compare{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Mutation{}
	}
	if err := c.budget.waitForWrites(ctx, len(txn.Then)); err != nil {
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

// do sends one request when the budget allows it, and decodes the response body into out. It
// returns the response's status, or 0 if there was no response.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	if err := c.budget.waitForRequest(ctx); err != nil {
		return 0, err
	}
	status, err := c.http.Do(ctx, timeout, method, uri, body, out)
	if err != nil {
		return status, err
	}
	if statusErr := errorForStatus(status); statusErr != nil {
		return status, &httpclient.StatusError{Method: method, URI: uri, Status: status, Err: statusErr}
	}
	return status, nil
}

// errorForStatus returns the error for a response's status, and nil for 2xx, 409 and 410. Commit
// handles 409, which means that a condition of a transaction failed.
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

// isTransient reports whether a request that failed with this error may succeed on a retry.
func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, httpclient.ErrNoResponse)
}
