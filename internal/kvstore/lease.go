package kvstore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Grant creates a lease with the given time to live and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	request := wire.LeaseRequest{TTLMS: ttl.Milliseconds()}
	var response wire.LeaseResponse
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, "/leases", request, &response)
	return response.Lease, err
}

// Renew restarts a lease's time to live. ErrNotFound means that the lease has expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, leaseURI(lease)+"/touch", struct{}{}, nil)
	return err
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodDelete, leaseURI(lease), nil, nil)
	return err
}

func leaseURI(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
