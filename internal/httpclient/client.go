// Package httpclient is the HTTP client under those of the key-value store, the cloud
// and the workers: one host, JSON bodies, no hidden retries.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/tuning"
)

// Client talks to one host.
type Client struct {
	host *fasthttp.HostClient
}

// New returns a client for addr with at most maxConnections, which are
// closed when they are unused for the idle timeout.
func New(addr string, maxConnections int, idleTimeout time.Duration) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr:                          addr,
		Name:                          "switchshore",
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           idleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		Dial:                          dial,
	}}
}

// neverRetry leaves retries to the callers, which know what may be repeated.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial connects within a bounded time.
func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", addr, tuning.PeerDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Do sends a request with a JSON body (nil: none), decodes a 2xx or 409
// response into out, and returns the status. Only ErrNoResponse leaves open
// whether the request was carried out.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.host.Addr + uri)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	if err := c.host.DoDeadline(req, res, deadline(ctx, timeout)); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = ErrNotSent
		}
		return 0, &NoResponseError{Method: method, URI: uri, Err: err}
	}
	status := res.StatusCode()
	if out != nil && hasResult(status) {
		if err := json.Unmarshal(res.Body(), out); err != nil {
			return status, &NoResponseError{Method: method, URI: uri, Err: err}
		}
	}
	return status, nil
}

// deadline is the end of the timeout, or of the context if that comes first.
func deadline(ctx context.Context, timeout time.Duration) time.Time {
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}

// hasResult reports whether a response of the status has a body for the caller.
func hasResult(status int) bool { return status/100 == 2 || status == fasthttp.StatusConflict }
