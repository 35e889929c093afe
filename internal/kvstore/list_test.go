package kvstore_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// TestListContinuesAfterARefusedPage: every page but the first try of it is
// answered; each key comes once, and no page that was read is read again.
func TestListContinuesAfterARefusedPage(t *testing.T) {
	const keys, page = 10, 3
	tries := map[string]int{}
	srv := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		since := string(rc.QueryArgs().Peek("since"))
		if tries[since]++; tries[since] == 1 {
			rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		first := 0
		if since != "" {
			_, _ = fmt.Sscanf(since, "k/%d", &first)
			first++
		}
		rows := ""
		for i := first; i < min(first+page, keys); i++ {
			rows += fmt.Sprintf(`,{"path":"k/%d","v":1,"mark":1}`, i)
		}
		_, _ = fmt.Fprintf(rc, `{"rows":[%s],"hasNext":%v}`, rows[1:], first+page < keys)
	}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }() // it ends with the listener
	defer ln.Close()
	client := kvstore.NewClient(ln.Addr().String(), config.KVStoreLimits{RPS: 1000, WriteRPS: 100, TxnOps: 10}, 1)
	var got []string
	if err := client.List(context.Background(), "k/", func(i wire.KeyValue) error {
		got = append(got, i.Key)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if len(got) != keys || got[0] != "k/0" || got[keys-1] != "k/9" {
		t.Errorf("%v", got)
	}
	for since, n := range tries {
		if n != 2 {
			t.Errorf("%d requests since %q", n, since)
		}
	}
}
