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

// fakeService responds to every call with success: to heartbeats without commands, to others
// with a queued job.
type fakeService struct{}

func (fakeService) Healthy() bool { return true }

func (fakeService) Handle(_ context.Context, c peer.Call) peer.Response {
	if c.Op == peer.OpHeartbeat {
		return peer.Response{Status: http.StatusOK, Heartbeat: &wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}}
	}
	return peer.Response{Status: http.StatusOK, Job: &wire.JobStatus{ID: c.Job, State: wire.JobQueued}}
}

const heartbeatBody = `{"deck":"i-1","endpoint":"10.0.0.1:9000","build":"b","berth":"a","watch":1,"knot":1,"helm":0,"oars":[]}`

// testServer is a server that listens on loopback.
type testServer struct {
	*Server
	t    *testing.T
	addr string
}

// startServer starts a server with a connection limit. It stops when the test ends.
func startServer(t *testing.T, maxConnections int) *testServer {
	t.Helper()
	srv := New(zerolog.Nop(), fakeService{}, config.ProcessLimits{MaxConnections: maxConnections})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = srv.Run(ctx, ln) }() // ends with the context
	return &testServer{Server: srv, t: t, addr: ln.Addr().String()}
}

// newClient returns a client that keeps one connection.
func (s *testServer) newClient() *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: s.addr, MaxConns: 1}
}

// send sends a request and returns the status and whether the server closes the connection.
func (s *testServer) send(c *fasthttp.HostClient, method, path, body string) (status int, closed bool) {
	s.t.Helper()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.addr + path)
	req.SetBodyString(body)
	if err := c.DoTimeout(req, res, 5*time.Second); err != nil {
		s.t.Fatal(err)
	}
	return res.StatusCode(), res.ConnectionClose()
}

// sendHeartbeat sends a worker's heartbeat.
func (s *testServer) sendHeartbeat(c *fasthttp.HostClient) (status int, closed bool) {
	s.t.Helper()
	return s.send(c, "POST", wire.PathHeartbeat, heartbeatBody)
}

// TestWorkerConnectionLimit checks that when workers keep as many connections as they may, further
// workers get a response and their connections are closed, so that users and health checks are
// still served.
func TestWorkerConnectionLimit(t *testing.T) {
	srv := startServer(t, 50)
	var workers []*fasthttp.HostClient
	for range srv.workers.limit {
		c := srv.newClient()
		workers = append(workers, c)
		if got, closed := srv.sendHeartbeat(c); got != 200 || closed {
			t.Fatalf("worker %d: %d, closed: %v", len(workers), got, closed)
		}
	}
	for range 2 * srv.http.Concurrency {
		if got, closed := srv.sendHeartbeat(srv.newClient()); got != 200 || !closed {
			t.Fatalf("worker above the limit: %d, closed: %v", got, closed)
		}
	}
	if got, closed := srv.sendHeartbeat(workers[0]); got != 200 || closed {
		t.Errorf("worker with a kept connection: %d, closed: %v", got, closed)
	}
	for _, path := range []string{wire.PathHealth, wire.PathJobs + "/job-000001"} {
		if got, _ := srv.send(srv.newClient(), "GET", path, ""); got != 200 {
			t.Errorf("%s: %d", path, got)
		}
	}
	// Another worker may keep its connection after one has been closed.
	workers[0].CloseIdleConnections()
	for range 500 {
		if _, closed := srv.sendHeartbeat(srv.newClient()); !closed {
			return
		}
	}
	t.Error("no connection is kept after a worker has closed its connection")
}
