package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/config"
)

// testHub is a hub on a loopback address.
type testHub struct {
	*Hub
	cancel  context.CancelFunc
	stopped chan error
}

// startHubs starts linked hubs. links holds, for each hub, the indexes of the hubs that it links
// to. The last hub leads, and responds to calls with handle.
func startHubs(t *testing.T, links [][]int, handle func(context.Context, Call) Response) []*testHub {
	t.Helper()
	listeners := make([]net.Listener, len(links))
	for i := range links {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = ln
	}
	hubs := make([]*testHub, len(links))
	for i, linked := range links {
		var peers []config.Peer
		for _, other := range linked {
			peers = append(peers, config.Peer{Name: hubName(other), Addr: listeners[other].Addr().String()})
		}
		hubs[i] = newTestHub(hubName(i), peers)
	}
	hubs[len(hubs)-1].makeLeader(handle)
	for i, h := range hubs {
		ctx, cancel := context.WithCancel(context.Background())
		h.cancel = cancel
		go func() { h.stopped <- h.Run(ctx, listeners[i]) }()
		t.Cleanup(cancel)
	}
	return hubs
}

func hubName(i int) string { return fmt.Sprint("n", i) }

// newTestHub returns a hub that forwards all calls.
func newTestHub(name string, peers []config.Peer) *testHub {
	h := &testHub{Hub: NewHub(zerolog.Nop(), peers), stopped: make(chan error, 1)}
	h.LocalHeartbeat = func() Heartbeat { return Heartbeat{Node: name, ReachesLeader: h.LinkedToLeader()} }
	h.OnLeaderTerm = func(uint64) {}
	h.Handle = func(ctx context.Context, c Call) Response {
		response, err := h.Forward(ctx, c)
		if err != nil {
			return ErrorResponse(http.StatusServiceUnavailable, err.Error())
		}
		return response
	}
	return h
}

// makeLeader makes the hub the leader's. It must be called before Run.
func (h *testHub) makeLeader(handle func(context.Context, Call) Response) {
	follower := h.LocalHeartbeat
	h.LocalHeartbeat = func() Heartbeat {
		b := follower()
		b.IsLeader, b.Term = true, 1
		return b
	}
	h.Handle = handle
}

// awaitLeader waits until the hub reaches the leader.
func (h *testHub) awaitLeader(t *testing.T) {
	t.Helper()
	for range 500 {
		if h.ReachesLeader() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the hub does not reach the leader")
}

// TestCallsReachTheLeader checks that a call reaches the leader on a direct link or through one
// peer, and never through two.
func TestCallsReachTheLeader(t *testing.T) {
	for _, c := range []struct {
		name  string
		links [][]int
		hops  int
	}{
		{"directly", [][]int{{1}, {0}}, 1},
		{"through a peer", [][]int{{1}, {0, 2}, {1}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			hops := make(chan int, 2) // of the calls that the leader received
			hubs := startHubs(t, c.links, func(_ context.Context, call Call) Response {
				hops <- call.Hops
				return Response{Status: http.StatusOK, Reason: call.Job}
			})
			hubs[0].awaitLeader(t)
			query := Call{Op: OpQuery, Job: "job-000001"}
			response, err := hubs[0].Forward(context.Background(), query)
			if err != nil || response.Status != http.StatusOK || response.Reason != query.Job {
				t.Errorf("%+v, %v", response, err)
			}
			if got := <-hops; got != c.hops {
				t.Errorf("the leader received a call with %d hops, want %d", got, c.hops)
			}
			query.Hops = 1
			if _, err := hubs[0].Forward(context.Background(), query); (c.hops == 1) != (err == nil) || err != nil && !errors.Is(err, ErrUnreachable) {
				t.Errorf("a call that was already relayed: %v", err)
			}
		})
	}
}

// TestHubStopsWithItsContext: a hub must stop when its context ends, even while it handles a call
// that never finishes. The caller of that call must not wait any longer.
func TestHubStopsWithItsContext(t *testing.T) {
	handling := make(chan struct{})
	hubs := startHubs(t, [][]int{{1}, {0}}, func(ctx context.Context, _ Call) Response {
		close(handling)
		<-ctx.Done()
		return ErrorResponse(http.StatusServiceUnavailable, "ended")
	})
	hubs[0].awaitLeader(t)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		response, err := hubs[0].Forward(context.Background(), Call{Op: OpQuery})
		if err == nil && response.Status != http.StatusServiceUnavailable {
			t.Errorf("the caller received %+v", response)
		}
	}()
	<-handling
	hubs[1].cancel()
	if err := <-hubs[1].stopped; err != nil {
		t.Errorf("Run returned %v", err)
	}
	<-returned
}
