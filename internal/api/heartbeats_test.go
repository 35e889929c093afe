package api

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// fakeService answers every call as a leader with nothing to do would.
type fakeService struct{}

func (fakeService) Healthy() bool { return true }

func (fakeService) Do(_ context.Context, c peer.Call) peer.Response {
	if c.Op == peer.OpHeartbeat {
		return peer.Response{Status: http.StatusOK, Heartbeat: &wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}}
	}
	return peer.Response{Status: http.StatusOK, Job: &wire.JobStatus{ID: c.Job, State: wire.JobQueued}}
}

// TestWorkersLeaveConnectionsForUsers: when workers keep the sockets that they
// may, all others are answered too, but their connections end with the answer,
// and users and health checks are answered.
func TestWorkersLeaveConnectionsForUsers(t *testing.T) {
	srv := New(zerolog.Nop(), fakeService{}, config.ProcessLimits{MaxConnections: 50})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = srv.Run(ctx, ln) }() // it ends with the context
	closed := false                      // by the last answer
	ask := func(c *fasthttp.HostClient, method, path, body string) int {
		t.Helper()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(method)
		req.SetRequestURI("http://" + ln.Addr().String() + path)
		req.SetBodyString(body)
		if err := c.DoTimeout(req, res, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		closed = res.ConnectionClose()
		return res.StatusCode()
	}
	client := func() *fasthttp.HostClient { return &fasthttp.HostClient{Addr: ln.Addr().String(), MaxConns: 1} }
	heartbeat := `{"deck":"i-1","endpoint":"10.0.0.1:9000","build":"b","berth":"a","watch":1,"knot":1,"helm":0,"oars":[]}`
	var workers []*fasthttp.HostClient
	for range srv.workers.limit {
		c := client()
		workers = append(workers, c)
		if got := ask(c, "POST", wire.PathHeartbeat, heartbeat); got != 200 || closed {
			t.Fatalf("worker %d: %d, closed: %v", len(workers), got, closed)
		}
	}
	for range 2 * srv.http.Concurrency {
		if got := ask(client(), "POST", wire.PathHeartbeat, heartbeat); got != 200 || !closed {
			t.Fatalf("one worker too many: %d, closed: %v", got, closed)
		}
	}
	if got := ask(workers[0], "POST", wire.PathHeartbeat, heartbeat); got != 200 || closed {
		t.Errorf("a worker that is here already: %d, closed: %v", got, closed)
	}
	for _, path := range []string{wire.PathHealth, wire.PathJobs + "/job-000001"} {
		if got := ask(client(), "GET", path, ""); got != 200 {
			t.Errorf("%s: %d", path, got)
		}
	}
	// A connection that ends may be replaced.
	workers[0].CloseIdleConnections()
	for range 500 {
		if ask(client(), "POST", wire.PathHeartbeat, heartbeat); !closed {
			return
		}
	}
	t.Error("no connection kept after a worker has left")
}
