// Package kvstore is the client of the state service: reads, transactions,
// leases and watches within this node's share of the budgets, and the writer
// through which a leader makes its changes.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Keys of the service.
const (
	KeyLeader = "leader"
	KeyTerm   = "term"
)

// Errors of the state service. httpclient.ErrNoResponse stands for an unknown outcome.
var (
	// ErrUnavailable: 429 or 503, the request was not executed.
	ErrUnavailable = errors.New("state service refused")
	// ErrNotFound: no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a guard of the transaction failed.
	ErrConflict = errors.New("guard failed")
	// ErrInvalidRequest: the state service did not understand the request.
	ErrInvalidRequest = errors.New("malformed request")
)

// Store is what the service needs of the state service; tests put a stand-in here.
type Store interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
	List(ctx context.Context, prefix string, each func(wire.KeyValue) error) error
	Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) error
}

// Client is the HTTP client of the state service.
type Client struct {
	http     *httpclient.Client
	requests *rate.Limiter
	writes   *rate.Limiter
	state    config.StateLimits
	others   int

	mu      sync.Mutex
	leading bool
	usual   time.Duration // smoothed time of a leader's transaction
}

var _ Store = (*Client)(nil)

// NewClient returns a client with a follower's share of the budgets.
func NewClient(addr string, state config.StateLimits, nodes int) *Client {
	c := &Client{
		http:     httpclient.New(addr, 64, tuning.ConnectionIdleTimeout),
		requests: rate.NewLimiter(1, 1),
		writes:   rate.NewLimiter(1, 1),
		state:    state,
		others:   max(nodes-1, 1),
	}
	c.SetLeading(false)
	return c
}

// SetLeading switches between a leader's and a follower's share of the
// budgets, so that all nodes together stay within them.
func (c *Client) SetLeading(leading bool) {
	share := tuning.StoreFollowerShare / float64(c.others)
	writes := (1 - tuning.StoreWriteShare) / float64(c.others)
	c.mu.Lock()
	c.leading, c.usual = leading, 0
	c.mu.Unlock()
	if leading {
		share, writes = tuning.StoreLeaderShare, tuning.StoreWriteShare
	}
	set := func(l *rate.Limiter, perSecond float64, least int) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(max(int(perSecond/2), least))
	}
	set(c.requests, c.state.RPS*share, 4)
	set(c.writes, c.state.WriteRPS*writes, max(4, c.state.TxnOps/2))
}

// MaxOps is the number of changes that fit into one transaction and into the
// write budget's burst.
func (c *Client) MaxOps() int { return max(1, min(c.state.TxnOps, c.writes.Burst())-1) }

// SpareWrites is the number of changes that can be made now with half of the burst
// left for those that users wait for.
func (c *Client) SpareWrites() int { return max(0, int(c.writes.Tokens())-c.writes.Burst()/2) }

func (c *Client) do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	if err := c.requests.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	status, err := c.http.Do(ctx, timeout, method, uri, body, out)
	if err != nil {
		return status, err
	}
	switch {
	case status/100 == 2 || status == http.StatusConflict || status == http.StatusGone:
		return status, nil
	case status == http.StatusNotFound:
		return status, ErrNotFound
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return status, ErrUnavailable
	case status == http.StatusBadRequest:
		return status, fmt.Errorf("%w: %s %s", ErrInvalidRequest, method, uri)
	}
	return status, fmt.Errorf("%w: status %d", httpclient.ErrNoResponse, status)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	var item wire.KeyValue
	_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store/"+key, nil, &item)
	return item, err
}

// List reads all keys with a prefix, page by page. A page without an answer is
// asked for again: a successor that began anew each time would not get through
// its pages while the state service is slow.
func (c *Client) List(ctx context.Context, prefix string, each func(wire.KeyValue) error) error {
	after := ""
	for {
		q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(tuning.PageSize)}}
		if after != "" {
			q.Set("since", after)
		}
		var page wire.KeyValuePage
		_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store?"+q.Encode(), nil, &page)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrUnavailable), errors.Is(err, httpclient.ErrNoResponse):
			if err := ctxtime.Sleep(ctx, tuning.StoreRetryDelay); err != nil {
				return err
			}
			continue
		case err != nil:
			return err
		}
		for _, item := range page.Items {
			if err := each(item); err != nil {
				return err
			}
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}

// Commit runs one transaction; ErrConflict comes with the failed keys.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (wire.TxnResult, error) {
	var res wire.TxnResult
	if txn.If == nil {
		txn.If = []wire.Compare{}
	}
	if txn.Then == nil {
		txn.Then = []wire.Mutation{}
	}
	if err := c.writes.WaitN(ctx, len(txn.Then)); err != nil {
		return res, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	patience := c.patience()
	sent := time.Now()
	status, err := c.do(ctx, patience, http.MethodPost, "/multi", txn, &res)
	c.took(time.Since(sent), err)
	if err == nil && status == http.StatusConflict {
		err = ErrConflict
	}
	return res, err
}

// patience is how long a leader waits for the answer to a transaction. Its
// transactions go one after the other, and a repeat is fenced: waiting for one
// that takes many times as long as usual only holds up all that users wait for.
func (c *Client) patience() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading || c.usual == 0 {
		return tuning.StoreTimeout
	}
	return min(max(tuning.StoreTimeoutFactor*c.usual, tuning.StoreTimeoutMin), tuning.StoreTimeout)
}

// took notes how long a transaction took; without an answer, the next one gets
// twice the time.
func (c *Client) took(d time.Duration, err error) {
	d = min(d, tuning.StoreTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, httpclient.ErrNoResponse):
		c.usual = min(2*c.usual, tuning.StoreTimeout)
	case err != nil:
	case c.usual == 0:
		c.usual = d
	default:
		c.usual += (d - c.usual) / tuning.StoreLatencyWindow
	}
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var res wire.LeaseResponse
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, "/leases", wire.LeaseRequest{TTLMS: ttl.Milliseconds()}, &res)
	return res.Lease, err
}

func leaseURI(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }

// Renew renews a lease; ErrNotFound means that it has ended.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, leaseURI(lease)+"/touch", struct{}{}, nil)
	return err
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodDelete, leaseURI(lease), nil, nil)
	return err
}

// Watch returns after a change below prefix, or when the time has run out.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) error {
	q := url.Values{
		"starts":  {prefix},
		"since":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	_, err := c.do(ctx, block+tuning.StoreTimeout, http.MethodGet, "/changes?"+q.Encode(), nil, nil)
	return err
}
