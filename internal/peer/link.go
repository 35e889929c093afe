package peer

import (
	"context"
	"net"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// link is this node's outgoing connection to one peer, which it re-establishes after failures.
type link struct {
	hub          *Hub
	name, addr   string
	heartbeatDue chan struct{} // requests a heartbeat ahead of the interval
	connected    bool          // guarded by hub.mu
	calls        pendingCalls
}

func newLink(h *Hub, p config.Peer) *link {
	return &link{hub: h, name: p.Name, addr: p.Addr, heartbeatDue: make(chan struct{}, 1)}
}

// run connects to the peer, and reconnects after each failure, until the context ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.addr, tuning.PeerDialTimeout)
		if err == nil {
			l.serveConnection(ctx, conn)
		}
		if ctxtime.Sleep(ctx, tuning.PeerRedialDelay) != nil {
			return
		}
	}
}

// serveConnection sends heartbeats and calls on a connection, and receives heartbeats and
// responses, until the connection ends. It closes a connection on which nothing arrives for
// PeerTimeout, because a network partition causes no error.
func (l *link) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, c := newConnection(ctx, conn)
	l.calls.open(c.writer)
	c.senders.Go(func() {
		defer c.cancel()
		l.sendHeartbeats(ctx, c.writer)
	})
	_ = readLines(conn, l.handleMessage) // after any error, run reconnects
	l.setConnected(false)
	l.calls.close()
	c.close()
}

// sendHeartbeats sends a heartbeat at every interval, and immediately on heartbeatDue, until the
// context ends or the connection fails.
func (l *link) sendHeartbeats(ctx context.Context, writer *lineWriter) {
	for ctx.Err() == nil {
		heartbeat := l.hub.LocalHeartbeat()
		if writer.write(&message{Heartbeat: &heartbeat}) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.heartbeatDue:
		case <-time.After(tuning.HeartbeatInterval):
		}
	}
}

// handleMessage processes a message of the peer.
func (l *link) handleMessage(m *message) {
	switch {
	case m.Heartbeat != nil:
		l.hub.recordHeartbeat(m.Heartbeat)
		l.setConnected(true)
	case m.Response != nil:
		l.calls.resolve(m.Response)
	}
}

func (l *link) setConnected(connected bool) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	l.connected = connected
}

// call sends a call to the peer and waits for the response.
func (l *link) call(ctx context.Context, c Call) (Response, error) {
	result, writer := l.calls.add(&c)
	if writer == nil {
		return Response{}, ErrUnreachable
	}
	if err := writer.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	select {
	case response, ok := <-result:
		if !ok {
			return Response{}, ErrUnreachable
		}
		return response, nil
	case <-ctx.Done():
		l.calls.remove(c.ID, result)
		return Response{}, ctx.Err()
	}
}
