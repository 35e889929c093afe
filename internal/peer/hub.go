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
	"switchshore.example/switchshore/internal/store"
	"switchshore.example/switchshore/internal/tuning"
)

// ErrUnreachable says that there is no way to a leader now.
var ErrUnreachable = errors.New("no leader within reach")

// Hub holds the links to all peers.
type Hub struct {
	Log zerolog.Logger
	// Self tells this node's own heartbeat.
	Self func() Heartbeat
	// Superseded is told the term of a peer that leads with authority.
	Superseded func(term uint64)
	// Policy, if set, is told the admission policy of a peer that leads.
	Policy func(admission.Policy)
	// Serve answers a peer's call.
	Serve func(context.Context, Call) Answer

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
				h.Log.Debug().Err(err).Msg("accept peer")
				if store.Pause(ctx, tuning.PeerRedial) != nil {
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
	if !b.Leads {
		return
	}
	h.Superseded(b.Term)
	if h.Policy != nil && b.Policy != nil && b.Policy.Term == b.Term {
		h.Policy(*b.Policy)
	}
}

// Offers are what the users of the peers within reach submit.
func (h *Hub) Offers() []admission.NodeOffers {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []admission.NodeOffers
	for _, l := range h.links {
		v := h.views[l.name]
		if v.heartbeat.Offers != nil && now.Sub(v.at) <= tuning.PeerSilence {
			offers := *v.heartbeat.Offers
			offers.Node = l.name
			all = append(all, offers)
		}
	}
	return all
}

// HearsLeader reports whether a peer with authority is directly in reach.
func (h *Hub) HearsLeader() bool { l, _ := h.route(false, 1); return l != nil }

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
		if !l.up || now.Sub(v.at) > tuning.PeerSilence {
			continue
		}
		if (v.heartbeat.Leads || report && v.heartbeat.Grace) && v.heartbeat.Term >= term {
			direct, term = l, v.heartbeat.Term
		}
		if v.heartbeat.Hears {
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
func (h *Hub) Forward(ctx context.Context, c Call) (Answer, error) {
	l, hops := h.route(c.Op == OpReport, c.Hops)
	if l == nil {
		return Answer{}, ErrUnreachable
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
	slots := make(chan struct{}, tuning.PeerCalls)
	_ = readLines(conn, func(m *line) {
		switch {
		case m.Heartbeat != nil:
			h.recordHeartbeat(m.Heartbeat)
			self := h.Self()
			_ = out.write(&line{Heartbeat: &self})
		case m.Call != nil && !m.Call.complete():
			_ = out.write(&line{Answer: &Answer{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Why: "incomplete call"}})
		case m.Call != nil:
			select {
			case slots <- struct{}{}:
				go func(c Call) {
					defer func() { <-slots }()
					a := h.Serve(ctx, c)
					a.ID = c.ID
					_ = out.write(&line{Answer: &a})
				}(*m.Call)
			default:
				_ = out.write(&line{Answer: &Answer{ID: m.Call.ID, Status: http.StatusServiceUnavailable}})
			}
		}
	})
}
