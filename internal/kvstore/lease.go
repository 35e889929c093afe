package kvstore

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// GrantLease creates a lease with the given time to live and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	request := wire.LeaseRequest{TTLMS: ttl.Milliseconds()}
	var response wire.LeaseResponse
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, "/leases", request, &response)
	return response.Lease, err
}

// RenewLease restarts a lease's time to live. It returns ErrNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodPost, leaseURI(lease)+"/touch", struct{}{}, nil)
	return err
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.do(ctx, tuning.LeaseRenewTimeout, http.MethodDelete, leaseURI(lease), nil, nil)
	return err
}

func leaseURI(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
