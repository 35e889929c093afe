// Package cloud is the client of the cloud that provisions the machines. Only the leader calls the
// cloud, and the client keeps its calls within the leader's share of the rate limit.
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

// maxConnections is the largest number of open connections to the cloud.
const maxConnections = 16

// Client is the HTTP client of the cloud.
type Client struct {
	http   *httpclient.Client
	budget *rate.Limiter
}

// NewClient returns a client for addr that keeps to the leader's share of the limits.
func NewClient(addr string, limits config.CloudLimits) *Client {
	return &Client{
		http:   httpclient.New(addr, maxConnections, tuning.ConnectionIdleTimeout),
		budget: newBudget(limits),
	}
}

// newBudget returns a limiter with the leader's share of the cloud's rate limit. Its burst is at
// most one second at that rate, because a previous leader may have used up the cloud's burst.
func newBudget(limits config.CloudLimits) *rate.Limiter {
	perSecond := limits.RPS * tuning.CloudCallShare
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// MachineTypes returns the offered machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &response)
	return response.Types, err
}

// Provision requests machines and returns their names. The request's ID makes retries idempotent.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/rentals", r, &response)
	return response.Machines, err
}

// Release returns machines to the cloud. If there is no error, the machines and all tasks on them
// have stopped.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// do sends one request within the budget and returns an error for every status except 2xx.
func (c *Client) do(ctx context.Context, method, uri string, body, out any) error {
	if err := c.budget.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	status, err := c.http.Do(ctx, tuning.CloudTimeout, method, uri, body, out)
	if err != nil {
		return err
	}
	if cause := errorForStatus(status); cause != nil {
		return &httpclient.StatusError{Method: method, URI: uri, Status: status, Err: cause}
	}
	return nil
}
