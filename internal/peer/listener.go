package peer

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// Limits on open incoming connections: a number for each peer, and a number of additional ones
// for operators.
const (
	connectionsPerPeer = 4
	spareConnections   = 4
)

// acceptConnections accepts and serves connections until the context ends, when Run closes the
// listener. It closes a connection beyond the limit at once.
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
			_ = conn.Close() // the connection was never used
		}
	}
}

// serveConnection responds to the heartbeats and calls on one connection until it ends.
func (h *Hub) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, c := newConnection(ctx, conn)
	var calls errgroup.Group
	calls.SetLimit(tuning.PeerMaxCalls)
	// The error is ignored, as the peer reconnects after any of them.
	_ = readLines(conn, func(m *message) { h.handleMessage(ctx, &calls, c.writer, m) })
	c.close()
	_ = calls.Wait() // none returns an error
}

// handleMessage responds to one message. A failure to write the response is ignored: the
// connection has then ended, and the peer fails all calls that are in flight on it.
func (h *Hub) handleMessage(ctx context.Context, calls *errgroup.Group, writer *lineWriter, m *message) {
	switch {
	case m.Heartbeat != nil:
		h.recordHeartbeat(m.Heartbeat)
		heartbeat := h.LocalHeartbeat()
		_ = writer.write(&message{Heartbeat: &heartbeat})
	case m.Call == nil:
	case !m.Call.isComplete():
		_ = writer.write(&message{Response: &Response{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Reason: "incomplete call"}})
	default:
		call := *m.Call
		started := calls.TryGo(func() error {
			response := h.Handle(ctx, call)
			response.ID = call.ID
			_ = writer.write(&message{Response: &response})
			return nil
		})
		if !started {
			_ = writer.write(&message{Response: &Response{ID: call.ID, Status: http.StatusServiceUnavailable}})
		}
	}
}
