package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Watch returns after a change below prefix that is newer than a revision, or when the
// time has run out.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) error {
	query := url.Values{
		"starts":  {prefix},
		"since":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	_, err := c.do(ctx, block+tuning.StoreTimeout, http.MethodGet, "/changes?"+query.Encode(), nil, nil)
	return err
}
