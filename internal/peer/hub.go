// Package peer connects the nodes of the scheduler, which are also called controllers. It forwards
// calls to the leader and exchanges heartbeats, which tell each node who the leader is and which nodes
// have a link to the leader. Each message is a line of JSON. Each node opens a connection to each peer;
// it sends its calls on this connection, and the peer responds on it.
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
	// ErrNoResponse means that SendCall sent a call and received no response.
	ErrNoResponse = errors.New("no answer")
)

// Hub holds the links to all peers and the last heartbeat of each.
type Hub struct {
	Log zerolog.Logger
	// LocalHeartbeat returns this node's own heartbeat.
	LocalHeartbeat func() Heartbeat
	// OnLeaderTerm is called with the sender's term for each heartbeat from a peer that holds the
	// leader's lease.
	OnLeaderTerm func(term uint64)
	// OnPolicy, if set, is called with each admission policy that a leader sends in a heartbeat.
	OnPolicy func(admission.Policy)
	// Handle executes a peer's call and returns the response.
	Handle func(context.Context, Call) Response

	mu             sync.Mutex
	links          []*link
	lastHeartbeats map[string]receivedHeartbeat // by node name
}

// NewHub returns a hub for the given peers.
func NewHub(log zerolog.Logger, peers []config.Peer) *Hub {
	h := &Hub{Log: log, lastHeartbeats: map[string]receivedHeartbeat{}}
	for _, p := range peers {
		h.links = append(h.links, newLink(h, p))
	}
	return h
}

// Run accepts connections on ln and keeps the links connected until the context ends. Then it closes
// ln and waits for the connections and calls to end.
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
// returns ErrUnreachable if there is no link on which to send the call.
func (h *Hub) Forward(ctx context.Context, c Call) (Response, error) {
	l := h.route(c.Op == OpHeartbeat, c.Hops == 0)
	if l == nil {
		return Response{}, ErrUnreachable
	}
	c.Hops++
	return l.call(ctx, c)
}
