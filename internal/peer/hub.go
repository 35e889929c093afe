// Package peer connects the nodes: it carries calls to the leader, as JSON lines on
// one connection a direction, and tells each node by heartbeats what the others
// know of the leader.
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
	// ErrUnreachable says that there is no way to a leader now.
	ErrUnreachable = errors.New("no leader within reach")
	// ErrNoResponse says that a connection has ended before the answer came.
	ErrNoResponse = errors.New("no answer")
)

// Hub is the links to all peers and what their heartbeats say.
type Hub struct {
	Log zerolog.Logger
	// LocalHeartbeat returns this node's own heartbeat.
	LocalHeartbeat func() Heartbeat
	// OnLeaderTerm is called with the term of each peer that leads with the lease.
	OnLeaderTerm func(term uint64)
	// OnPolicy, if set, is called with the admission policy of a peer that leads.
	OnPolicy func(admission.Policy)
	// Handle answers a peer's call.
	Handle func(context.Context, Call) Response

	mu      sync.Mutex
	links   []*link
	members map[string]member
}

// NewHub returns a hub for the given peers.
func NewHub(log zerolog.Logger, peers []config.Peer) *Hub {
	h := &Hub{Log: log, members: map[string]member{}}
	for _, p := range peers {
		h.links = append(h.links, newLink(h, p))
	}
	return h
}

// Run serves ln and keeps the links connected until the context ends.
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

// Forward sends a call towards the leader and waits for the answer.
func (h *Hub) Forward(ctx context.Context, c Call) (Response, error) {
	l := h.route(c.Op == OpHeartbeat, c.Hops == 0)
	if l == nil {
		return Response{}, ErrUnreachable
	}
	c.Hops++
	return l.call(ctx, c)
}
