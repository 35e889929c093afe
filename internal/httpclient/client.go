// Package httpclient is the HTTP client that the clients of the key-value store, the cloud and the
// agents use. It sends and receives JSON, and never retries a request.
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

// New returns a client for addr with at most maxConnections connections. The client closes a
// connection that was not used for idleTimeout.
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

// neverRetry disables fasthttp's retries, because only the callers know which requests are safe to
// retry.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dial connects to addr within PeerDialTimeout. Its errors match ErrNotSent.
func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", addr, tuning.PeerDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Do sends a request and returns the status of the response. It encodes body as JSON, unless body is
// nil. If the status is 2xx or 409 and out is not nil, it decodes the response into out. After an
// ErrNoResponse that is not an ErrNotSent, the request may have been executed.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, uri string, body, out any) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.host.Addr + uri)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(data)
	}
	if err := c.host.DoDeadline(request, response, earlierDeadline(ctx, timeout)); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = ErrNotSent
		}
		return 0, &NoResponseError{Method: method, URI: uri, Err: err}
	}
	status := response.StatusCode()
	if out != nil && hasDecodableBody(status) {
		if err := json.Unmarshal(response.Body(), out); err != nil {
			return status, &NoResponseError{Method: method, URI: uri, Err: err}
		}
	}
	return status, nil
}

// earlierDeadline returns the end of the timeout or the context's deadline, whichever is earlier.
func earlierDeadline(ctx context.Context, timeout time.Duration) time.Time {
	timeoutEnd := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(timeoutEnd) {
		return d
	}
	return timeoutEnd
}

// hasDecodableBody reports whether Do decodes the body of a response with this status. The key-value
// store sends a result with 409 as well.
func hasDecodableBody(status int) bool { return status/100 == 2 || status == fasthttp.StatusConflict }
