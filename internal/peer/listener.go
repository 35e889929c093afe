package peer

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// Bounds of the connections that peers and operators may keep at a time.
const (
	connectionsPerPeer = 4
	spareConnections   = 4
)

// acceptConnections serves peers until the context ends, which closes the listener.
func (h *Hub) acceptConnections(ctx context.Context, ln net.Listener) {
	var connections errgroup.Group
	connections.SetLimit(len(h.links)*connectionsPerPeer + spareConnections)
	defer func() { _ = connections.Wait() }() // none returns an error
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			h.Log.Debug().Err(err).Msg("accepting peer connection failed")
			if ctxtime.Sleep(ctx, tuning.PeerRedialDelay) != nil {
				return
			}
			continue
		}
		started := connections.TryGo(func() error {
			h.serveConnection(ctx, conn)
			return nil
		})
		if !started {
			_ = conn.Close() // nothing was read or written
		}
	}
}

// serveConnection answers the heartbeats and calls that come on one connection.
func (h *Hub) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, c := newConnection(ctx, conn)
	var calls errgroup.Group
	calls.SetLimit(tuning.PeerMaxCalls)
	// However the reading ends, the peer dials again.
	_ = readLines(conn, func(m *message) { h.handleMessage(ctx, &calls, c.out, m) })
	c.close()
	_ = calls.Wait() // none returns an error
}

// handleMessage answers one line. An answer that can't be written is lost with the
// connection: the peer then gives up all calls that wait on it.
func (h *Hub) handleMessage(ctx context.Context, calls *errgroup.Group, out *lineWriter, m *message) {
	switch {
	case m.Heartbeat != nil:
		h.recordHeartbeat(m.Heartbeat)
		own := h.LocalHeartbeat()
		_ = out.write(&message{Heartbeat: &own})
	case m.Call == nil:
	case !m.Call.isComplete():
		_ = out.write(&message{Response: &Response{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Reason: "incomplete call"}})
	default:
		call := *m.Call
		started := calls.TryGo(func() error {
			response := h.Handle(ctx, call)
			response.ID = call.ID
			_ = out.write(&message{Response: &response})
			return nil
		})
		if !started {
			_ = out.write(&message{Response: &Response{ID: call.ID, Status: http.StatusServiceUnavailable}})
		}
	}
}
