// Package httpclient is the HTTP client on which the clients of the key-value store, the cloud and
// the workers are built. It sends and receives JSON and retries nothing by itself.
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

// Client sends requests to one host.
type Client struct {
	host *fasthttp.HostClient
}

// New returns a client for addr with at most maxConnections connections. It closes a connection
// that is unused for idleTimeout.
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

// neverRetry disables fasthttp's retries, as only the callers know which requests are safe to
// retry.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial connects to addr within PeerDialTimeout. Its errors are ErrNotSent.
func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", addr, tuning.PeerDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Do sends a request with a JSON body, or without a body if it is nil. It decodes the body of a
// 2xx or 409 response into out and returns the status. After ErrNoResponse, except ErrNotSent, it
// is unknown whether the request was executed.
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

// deadline returns the end of the timeout or the context's deadline, whichever is earlier.
func deadline(ctx context.Context, timeout time.Duration) time.Time {
	end := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		return d
	}
	return end
}

// hasResult reports whether the body of a response with this status is decoded.
func hasResult(status int) bool { return status/100 == 2 || status == fasthttp.StatusConflict }
