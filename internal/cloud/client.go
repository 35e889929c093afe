// Package cloud is the client of the cloud, which provisions the machines. Only the leader calls the
// cloud. The client keeps the rate of calls within the leader's share of the cloud's rate limit.
package cloud

import (
	"context"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// MaxConnections is the largest number of open connections to the cloud.
const MaxConnections = 16

// Client is the HTTP client of the cloud.
type Client struct {
	http        *httpclient.Client
	rateLimiter *rate.Limiter
}

// NewClient returns a client for addr that keeps to the leader's share of the rate limit.
func NewClient(addr string, limits config.CloudLimits) *Client {
	return &Client{
		http:        httpclient.New(addr, MaxConnections, tuning.ConnectionIdleTimeout),
		rateLimiter: newRateLimiter(limits),
	}
}

// newRateLimiter returns a limiter with the leader's share of the cloud's rate limit. Its burst is the
// calls of one second: more might exceed the limit, because a previous leader may have used up the
// cloud's burst.
func newRateLimiter(limits config.CloudLimits) *rate.Limiter {
	perSecond := limits.RPS * tuning.CloudCallShare
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// MachineTypes returns the machine types that the cloud offers, with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &response)
	return response.Types, err
}

// WaitForTurn waits until the rate limiter allows another request. It returns an error that wraps
// ErrUnavailable if the context ends first.
func (c *Client) WaitForTurn(ctx context.Context) error {
	if err := c.rateLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// Provision requests machines and returns their names. A retry with the same RequestID provisions no
// further machines. The caller calls WaitForTurn first, so that it can check after the wait whether it
// may still send the request.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.send(ctx, http.MethodPost, "/rentals", r, &response)
	return response.Machines, err
}

// Release releases machines. If it returns nil, the machines and all tasks on them have stopped. The
// caller calls WaitForTurn first, as for Provision.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.send(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// do sends one request as soon as the rate limiter allows it.
func (c *Client) do(ctx context.Context, method, uri string, body, out any) error {
	if err := c.WaitForTurn(ctx); err != nil {
		return err
	}
	return c.send(ctx, method, uri, body, out)
}

// send sends one request. It returns an error for every status except 2xx.
func (c *Client) send(ctx context.Context, method, uri string, body, out any) error {
	status, err := c.http.Do(ctx, tuning.CloudTimeout, method, uri, body, out)
	if err != nil {
		return err
	}
	if cause := errorForStatus(status); cause != nil {
		return &httpclient.StatusError{Method: method, URI: uri, Status: status, Err: cause}
	}
	return nil
}
