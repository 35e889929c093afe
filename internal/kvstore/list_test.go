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

// pages serves the keys k/0, k/1 and so on, a few a request. Every page is refused once.
type pages struct {
	keys, perPage int
	requests      map[string]int // by the key that the page follows
}

func (p *pages) handle(rc *fasthttp.RequestCtx) {
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

// TestListContinuesAfterARefusedPage: every page but the first try of it is
// answered; each key comes once, and no page that was read is read again.
func TestListContinuesAfterARefusedPage(t *testing.T) {
	p := &pages{keys: 10, perPage: 3, requests: map[string]int{}}
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
