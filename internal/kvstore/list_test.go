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

// pagedStore serves the keys k/0, k/1 and so on in pages of perPage keys. It answers the first
// request for each page with 503.
type pagedStore struct {
	keys, perPage int
	requests      map[string]int // by the key after which the page starts
}

func (p *pagedStore) handle(rc *fasthttp.RequestCtx) {
	since := string(rc.QueryArgs().Peek("since"))
	p.requests[since]++
	if p.requests[since] == 1 {
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

// TestListRetriesUnavailablePages: the store answers the second request for each page only. The
// list must hold each key once, and a page that has been read must not be read again.
func TestListRetriesUnavailablePages(t *testing.T) {
	p := &pagedStore{keys: 10, perPage: 3, requests: map[string]int{}}
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
		t.Errorf("%v", got)
	}
	for since, n := range p.requests {
		if n != 2 {
			t.Errorf("%d requests since %q", n, since)
		}
	}
}
