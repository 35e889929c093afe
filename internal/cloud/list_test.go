package cloud_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient/loopback"
	"switchshore.example/switchshore/wire"
)

// maxPageSize is the largest page that the cloud returns.
const maxPageSize = 500

// machineList serves the list of machines, and removes two machines after the first page.
type machineList struct {
	t        *testing.T
	names    []string
	requests int
}

func (l *machineList) handle(rc *fasthttp.RequestCtx) {
	since, limit := string(rc.QueryArgs().Peek("since")), rc.QueryArgs().GetUintOrZero("limit")
	if limit < 1 || limit > maxPageSize {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	l.requests++
	if l.requests == 2 {
		// Two machines of the first page are released after it was read: its first and its last.
		l.names = append(append([]string{}, l.names[1:limit-1]...), l.names[limit:]...)
	}
	body, err := json.Marshal(l.page(since, limit))
	if err != nil {
		l.t.Error(err)
	}
	rc.SetBody(body)
}

// page returns the machines whose names follow since.
func (l *machineList) page(since string, limit int) wire.MachineList {
	var page wire.MachineList
	for _, name := range l.names {
		if name <= since {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		page.Machines = append(page.Machines, wire.ListedMachine{Name: name})
	}
	return page
}

// TestListOfManyPages checks that 2,200 machines are listed once each, in pages of at most 500. A
// machine that is released between two pages must not make the list skip another one, because
// the service treats a machine missing from the list as released.
func TestListOfManyPages(t *testing.T) {
	l := &machineList{t: t}
	for i := range 2200 {
		l.names = append(l.names, fmt.Sprintf("i-%06d", i))
	}
	client := cloud.NewClient(loopback.Serve(t, l.handle), config.CloudLimits{RPS: 1000, ListLagS: 1})
	list, err := client.ListMachines(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 2200 || l.requests != 5 {
		t.Fatalf("%d machines in %d calls", len(list), l.requests)
	}
	for i, m := range list {
		if want := fmt.Sprintf("i-%06d", i); m.Name != want {
			t.Fatalf("row %d is %s, want %s", i, m.Name, want)
		}
	}
}
