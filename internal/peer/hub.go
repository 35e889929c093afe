// Package peer carries requests between the controllers, as JSON lines on
// one connection a direction, and tells each what the others know of the
// leader.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// ErrUnreachable says that there is no way to a leader now.
var ErrUnreachable = errors.New("no leader within reach")

// Hub holds the links to all peers.
type Hub struct {
	Log zerolog.Logger
	// LocalHeartbeat tells this node's own heartbeat.
	LocalHeartbeat func() Heartbeat
	// OnHigherTerm is told the term of a peer that leads with authority.
	OnHigherTerm func(term uint64)
	// OnPolicy, if set, is told the admission policy of a peer that leads.
	OnPolicy func(admission.Policy)
	// Handle answers a peer's call.
	Handle func(context.Context, Call) Response

	mu    sync.Mutex
	links []*link
	views map[string]peerState
}

type peerState struct {
	heartbeat Heartbeat
	at        time.Time
}

// NewHub returns a hub for the given peers.
func NewHub(log zerolog.Logger, peers []config.Peer) *Hub {
	h := &Hub{Log: log, views: map[string]peerState{}}
	for _, p := range peers {
		h.links = append(h.links, &link{hub: h, name: p.Name, addr: p.Addr, poke: make(chan struct{}, 1)})
	}
	return h
}

// Run serves ln and keeps the links up until the context ends.
func (h *Hub) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range h.links {
		g.Go(func() error { return l.run(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		slots := make(chan struct{}, len(h.links)*4+4)
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				h.Log.Debug().Err(err).Msg("accepting peer connection failed")
				if ctxtime.Sleep(ctx, tuning.PeerRedialDelay) != nil {
					return nil
				}
				continue
			}
			select {
			case slots <- struct{}{}:
				go func() {
					defer func() { <-slots }()
					h.serve(ctx, conn)
				}()
			default:
				_ = conn.Close()
			}
		}
	})
	return g.Wait()
}

// SendHeartbeats sends heartbeats at once, after a change of leadership.
func (h *Hub) SendHeartbeats() {
	for _, l := range h.links {
		select {
		case l.poke <- struct{}{}:
		default:
		}
	}
}

func (h *Hub) recordHeartbeat(b *Heartbeat) {
	h.mu.Lock()
	h.views[b.Node] = peerState{*b, time.Now()}
	h.mu.Unlock()
	if !b.IsLeader {
		return
	}
	h.OnHigherTerm(b.Term)
	if h.OnPolicy != nil && b.Policy != nil && b.Policy.Term == b.Term {
		h.OnPolicy(*b.Policy)
	}
}

// Offers are what the users of the peers within reach submit.
func (h *Hub) Offers() []admission.NodeOfferedLoad {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []admission.NodeOfferedLoad
	for _, l := range h.links {
		v := h.views[l.name]
		if v.heartbeat.Offers != nil && now.Sub(v.at) <= tuning.PeerTimeout {
			offers := *v.heartbeat.Offers
			offers.Node = l.name
			all = append(all, offers)
		}
	}
	return all
}

// LinkedToLeader reports whether a peer with authority is directly in reach.
func (h *Hub) LinkedToLeader() bool { l, _ := h.route(false, 1); return l != nil }

// ReachesLeader reports whether a leader is in reach, directly or through a peer.
func (h *Hub) ReachesLeader() bool { l, _ := h.route(false, 0); return l != nil }

// route picks the link for a call: to the leader of the highest term, or,
// for a call not relayed yet, to a peer that hears one.
func (h *Hub) route(report bool, hops int) (*link, int) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var direct, relay *link
	var term uint64
	for _, l := range h.links {
		v := h.views[l.name]
		if !l.up || now.Sub(v.at) > tuning.PeerTimeout {
			continue
		}
		if (v.heartbeat.IsLeader || report && v.heartbeat.InGracePeriod) && v.heartbeat.Term >= term {
			direct, term = l, v.heartbeat.Term
		}
		if v.heartbeat.ReachesLeader {
			relay = l
		}
	}
	if direct != nil {
		return direct, hops + 1
	}
	if hops == 0 {
		return relay, hops + 1
	}
	return nil, 0
}

// Forward sends a call towards the leader and waits for the answer.
func (h *Hub) Forward(ctx context.Context, c Call) (Response, error) {
	l, hops := h.route(c.Op == OpHeartbeat, c.Hops)
	if l == nil {
		return Response{}, ErrUnreachable
	}
	c.Hops = hops
	return l.call(ctx, c)
}

// serve answers one peer's connection.
func (h *Hub) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	out := newLineWriter(conn)
	go out.run(ctx)
	slots := make(chan struct{}, tuning.PeerMaxCalls)
	_ = readLines(conn, func(m *message) {
		switch {
		case m.Heartbeat != nil:
			h.recordHeartbeat(m.Heartbeat)
			self := h.LocalHeartbeat()
			_ = out.write(&message{Heartbeat: &self})
		case m.Call != nil && !m.Call.complete():
			_ = out.write(&message{Response: &Response{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Reason: "incomplete call"}})
		case m.Call != nil:
			select {
			case slots <- struct{}{}:
				go func(c Call) {
					defer func() { <-slots }()
					a := h.Handle(ctx, c)
					a.ID = c.ID
					_ = out.write(&message{Response: &a})
				}(*m.Call)
			default:
				_ = out.write(&message{Response: &Response{ID: m.Call.ID, Status: http.StatusServiceUnavailable}})
			}
		}
	})
}
