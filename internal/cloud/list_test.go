package cloud_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/wire"
)

// TestListOfManyPages: 2,200 machines come in pages of at most 500, each once. A
// machine that ends between two pages doesn't make the list skip another: what
// is missing from a list is taken for ended.
func TestListOfManyPages(t *testing.T) {
	var names []string
	for i := range 2200 {
		names = append(names, fmt.Sprintf("i-%06d", i))
	}
	calls := 0
	srv := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		since, limit := string(rc.QueryArgs().Peek("since")), rc.QueryArgs().GetUintOrZero("limit")
		if limit < 1 || limit > 500 {
			rc.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		if calls++; calls == 2 {
			// Ended since the first page: one of it, and the last of it.
			names = append(append([]string{}, names[1:limit-1]...), names[limit:]...)
		}
		var res wire.MachineList
		for _, name := range names {
			if name <= since {
				continue
			}
			if len(res.Machines) == limit {
				res.More = true
				break
			}
			res.Machines = append(res.Machines, wire.ListedMachine{Name: name})
		}
		body, _ := json.Marshal(res)
		rc.SetBody(body)
	}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }() // it ends with the listener
	defer ln.Close()
	list, err := cloud.NewClient(ln.Addr().String(), config.CloudLimits{RPS: 1000, ListLagS: 1}).ListMachines(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 2200 || calls != 5 {
		t.Fatalf("%d machines in %d calls", len(list), calls)
	}
	for i, m := range list {
		if want := fmt.Sprintf("i-%06d", i); m.Name != want {
			t.Fatalf("row %d is %s, want %s", i, m.Name, want)
		}
	}
}
