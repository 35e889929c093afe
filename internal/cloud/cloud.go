// Package cloud is the client of the cloud that rents machines, within the
// call budget of the leader, who alone calls it.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Errors of the cloud. httpclient.ErrNoResponse stands for an unknown outcome.
var (
	// ErrUnavailable: no capacity, too many calls or an outage; nothing was done.
	ErrUnavailable = errors.New("cloud refused")
	// ErrInvalidRequest: the cloud did not understand the request.
	ErrInvalidRequest = errors.New("malformed request")
)

// Client is the HTTP client of the cloud.
type Client struct {
	http  *httpclient.Client
	calls *rate.Limiter
}

// NewClient returns a client for addr.
func NewClient(addr string, c config.CloudLimits) *Client {
	return &Client{
		http: httpclient.New(addr, 16, tuning.ConnectionIdleTimeout),
		// One call of burst: a predecessor may have used up the cloud's.
		calls: rate.NewLimiter(rate.Limit(c.RPS*tuning.CloudShare), max(1, int(c.RPS*tuning.CloudShare))),
	}
}

func (c *Client) do(ctx context.Context, method, uri string, body, out any) error {
	if err := c.calls.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	status, err := c.http.Do(ctx, tuning.CloudTimeout, method, uri, body, out)
	switch {
	case err != nil:
		return err
	case status/100 == 2:
		return nil
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusBadRequest:
		return fmt.Errorf("%w: %s %s", ErrInvalidRequest, method, uri)
	}
	return fmt.Errorf("%w: status %d", httpclient.ErrNoResponse, status)
}

// MachineTypes reads the catalogue with current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var res wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/machine_types", nil, &res)
	return res.Types, err
}

// Provision asks for machines; the request's name makes repeats harmless.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error) {
	var res wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/rentals", r, &res)
	return res.Machines, err
}

// Release gives machines back: after nil they and all on them are gone.
func (c *Client) Release(ctx context.Context, names []string) error {
	return c.do(ctx, http.MethodPost, "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// ListMachines reads the whole machine list.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	const page = 500
	var all []wire.ListedMachine
	after := ""
	for {
		q := url.Values{"limit": {strconv.Itoa(page)}}
		if after != "" {
			q.Set("since", after)
		}
		var res wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &res); err != nil {
			return nil, err
		}
		all = append(all, res.Machines...)
		if !res.More || len(res.Machines) == 0 {
			return all, nil
		}
		after = res.Machines[len(res.Machines)-1].Name
	}
}
