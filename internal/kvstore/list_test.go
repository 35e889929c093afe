package kvstore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient/loopback"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// pagedStore serves the keys k/0, k/1 and so on in pages of perPage keys. It responds to the
// first request for each page with 503.
type pagedStore struct {
	keys, perPage int
	requestCounts map[string]int // number of requests for each page, by the key after which the page starts
}

func (p *pagedStore) handle(rc *fasthttp.RequestCtx) {
	since := string(rc.QueryArgs().Peek("since"))
	p.requestCounts[since]++
	if p.requestCounts[since] == 1 {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	first := 0
	if _, err := fmt.Sscanf(since, "k/%d", &first); err == nil {
		first++
	}
	var rows []string
	for i := first; i < min(first+p.perPage, p.keys); i++ {
		rows = append(rows, fmt.Sprintf(`{"path":"k/%d","v":1,"mark":1}`, i))
	}
	rc.SetBodyString(fmt.Sprintf(`{"rows":[%s],"hasNext":%v}`, strings.Join(rows, ","), first+p.perPage < p.keys))
}

// TestListRetriesUnavailablePages: the store responds to the first request for each page with 503.
// List must return each key once, and must not read a page again that it has read.
func TestListRetriesUnavailablePages(t *testing.T) {
	p := &pagedStore{keys: 10, perPage: 3, requestCounts: map[string]int{}}
	limits := config.KVStoreLimits{RPS: 1000, WriteRPS: 100, TxnOps: 10}
	client := kvstore.NewClient(loopback.Serve(t, p.handle), limits, 1)
	var got []string
	if err := client.List(context.Background(), "k/", func(i wire.KeyValue) error {
		got = append(got, i.Key)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if len(got) != p.keys || got[0] != "k/0" || got[p.keys-1] != "k/9" {
		t.Errorf("got keys %v, want k/0 to k/9", got)
	}
	for since, n := range p.requestCounts {
		if n != 2 {
			t.Errorf("%d requests for the page after %q, want 2", n, since)
		}
	}
}
