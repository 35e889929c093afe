package peer

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// Limits on the open incoming connections: for each peer, and in addition for all operators'
// commands together.
const (
	connectionsPerPeer  = 4
	operatorConnections = 4
)

// acceptConnections accepts and serves connections until Run closes the listener at the end of the
// context. It closes new connections at once while the limit is reached.
func (h *Hub) acceptConnections(ctx context.Context, ln net.Listener) {
	var connections errgroup.Group
	connections.SetLimit(len(h.links)*connectionsPerPeer + operatorConnections)
	defer func() { _ = connections.Wait() }() // the goroutines return no errors
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
			_ = conn.Close() // an error is irrelevant, as the connection is unused
		}
	}
}

// serveConnection responds to the heartbeats and calls on one connection until it ends.
func (h *Hub) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, c := newConnection(ctx, conn)
	var calls errgroup.Group
	calls.SetLimit(tuning.PeerMaxCalls)
	// The error is ignored, because the peer reconnects after any error.
	_ = readMessages(conn, func(m *message) { h.handleMessage(ctx, &calls, c.writer, m) })
	c.close()
	_ = calls.Wait() // the goroutines return no errors
}

// handleMessage responds to one message. It rejects an incomplete call, and each call beyond
// PeerMaxCalls, with 503. It ignores an error of the writer: the connection has failed then, and the
// peer's calls in flight on it fail as well.
func (h *Hub) handleMessage(ctx context.Context, calls *errgroup.Group, writer *lineWriter, m *message) {
	switch {
	case m.Heartbeat != nil:
		h.recordHeartbeat(m.Heartbeat)
		heartbeat := h.LocalHeartbeat()
		_ = writer.enqueue(&message{Heartbeat: &heartbeat})
	case m.Call == nil: // ignores messages that this version doesn't know
	case !m.Call.isComplete():
		_ = writer.enqueue(&message{Response: &Response{ID: m.Call.ID, Status: http.StatusServiceUnavailable, Reason: "incomplete call"}})
	default:
		call := *m.Call
		started := calls.TryGo(func() error {
			response := h.Handle(ctx, call)
			response.ID = call.ID
			_ = writer.enqueue(&message{Response: &response})
			return nil
		})
		if !started {
			_ = writer.enqueue(&message{Response: &Response{ID: call.ID, Status: http.StatusServiceUnavailable}})
		}
	}
}
