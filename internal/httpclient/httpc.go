// Package httpclient is the HTTP client under the state, cloud and worker clients:
// one host, JSON bodies, no hidden repeats.
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

// New returns a client for addr with at most conns connections, which are
// closed when they are unused for idle.
func New(addr string, conns int, idle time.Duration) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr:                          addr,
		Name:                          "switchshore",
		MaxConns:                      conns,
		MaxIdleConnDuration:           idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp4", addr, tuning.PeerDialTimeout)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
	}}
}

// Do sends a request with a JSON body (nil: none), decodes a 2xx or 409
// answer into out, and returns the status. Only ErrNoResponse leaves open
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
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.host.DoDeadline(req, res, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = ErrNotSent
		}
		return 0, fmt.Errorf("%w: %s %s: %w", ErrNoResponse, method, uri, err)
	}
	status := res.StatusCode()
	if out != nil && (status/100 == 2 || status == fasthttp.StatusConflict) {
		if err := json.Unmarshal(res.Body(), out); err != nil {
			return status, fmt.Errorf("%w: %s %s: %w", ErrNoResponse, method, uri, err)
		}
	}
	return status, nil
}
