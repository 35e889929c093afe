package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Watch blocks until a key with the prefix has changed after the given revision, for maxWait
// at most.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) error {
	query := url.Values{
		"starts":  {prefix},
		"since":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	_, err := c.do(ctx, maxWait+tuning.StoreTimeout, http.MethodGet, "/changes?"+query.Encode(), nil, nil)
	return err
}
