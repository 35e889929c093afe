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

// List reads all keys with a prefix, page by page.
func (c *Client) List(ctx context.Context, prefix string, each func(wire.KeyValue) error) error {
	after := ""
	for {
		page, err := c.readPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			if err := each(item); err != nil {
				return err
			}
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return nil
		}
	}
}

// readPage reads the keys that follow one key ("" for the first page). A page without
// an answer is asked for again: a new leader that began anew each time would not
// get through its pages while the store is slow.
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
