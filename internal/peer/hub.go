// Package peer connects the nodes of a cluster. It forwards calls to the leader and exchanges
// heartbeats, by which each node learns from the others who leads and how to reach the leader.
// Messages are JSON lines, and each node opens its own connection to each peer.
package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
)

var (
	// ErrUnreachable means that no leader can be reached at the moment.
	ErrUnreachable = errors.New("no leader within reach")
	// ErrNoResponse means that a connection ended before the response arrived.
	ErrNoResponse = errors.New("no answer")
)

// Hub holds the links to all peers and the last heartbeat of each.
type Hub struct {
	Log zerolog.Logger
	// LocalHeartbeat returns this node's own heartbeat.
	LocalHeartbeat func() Heartbeat
	// OnLeaderTerm is called with the term of each heartbeat whose sender holds the leader's
	// lease.
	OnLeaderTerm func(term uint64)
	// OnPolicy, if set, is called with each admission policy that a leader's heartbeat carries.
	OnPolicy func(admission.Policy)
	// Handle executes a peer's call and returns the response.
	Handle func(context.Context, Call) Response

	mu             sync.Mutex
	links          []*link
	lastHeartbeats map[string]receivedHeartbeat
}

// NewHub returns a hub for the given peers.
func NewHub(log zerolog.Logger, peers []config.Peer) *Hub {
	h := &Hub{Log: log, lastHeartbeats: map[string]receivedHeartbeat{}}
	for _, p := range peers {
		h.links = append(h.links, newLink(h, p))
	}
	return h
}

// Run accepts connections on ln and keeps the links connected until the context ends. It closes
// ln.
func (h *Hub) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range h.links {
		g.Go(func() error {
			l.run(ctx)
			return nil
		})
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		h.acceptConnections(ctx, ln)
		return nil
	})
	return g.Wait()
}

// Forward sends a call to the leader, directly or through a peer, and waits for the response. It
// returns ErrUnreachable if there is no route.
func (h *Hub) Forward(ctx context.Context, c Call) (Response, error) {
	l := h.route(c.Op == OpHeartbeat, c.Hops == 0)
	if l == nil {
		return Response{}, ErrUnreachable
	}
	c.Hops++
	return l.call(ctx, c)
}
