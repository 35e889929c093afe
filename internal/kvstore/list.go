package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// List reads all keys with a prefix, page by page, and calls visit for each one. It stops at
// the first error of visit.
func (c *Client) List(ctx context.Context, prefix string, visit func(wire.KeyValue) error) error {
	after := ""
	for {
		page, err := c.readPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			if err := visit(item); err != nil {
				return err
			}
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}

// readPage reads one page of keys, from the first key after the given one, or from the start
// for "". It retries a page after a transient error: a new leader that restarted the whole
// list each time would never finish it while the store is slow.
func (c *Client) readPage(ctx context.Context, prefix, after string) (wire.KeyValuePage, error) {
	query := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(tuning.PageSize)}}
	if after != "" {
		query.Set("since", after)
	}
	for {
		var page wire.KeyValuePage
		_, err := c.do(ctx, tuning.StoreTimeout, http.MethodGet, "/store?"+query.Encode(), nil, &page)
		switch {
		case ctx.Err() != nil:
			return page, ctx.Err()
		case err == nil:
			return page, nil
		case !isTransient(err):
			return page, err
		}
		if err := ctxtime.Sleep(ctx, tuning.StoreRetryDelay); err != nil {
			return page, err
		}
	}
}
