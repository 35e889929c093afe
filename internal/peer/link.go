package peer

import (
	"context"
	"net"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// link is this node's connection to one peer.
type link struct {
	hub          *Hub
	name, addr   string
	heartbeatDue chan struct{} // a heartbeat is to be sent at once
	connected    bool          // guarded by hub.mu
	calls        pendingCalls
}

func newLink(h *Hub, p config.Peer) *link {
	return &link{hub: h, name: p.Name, addr: p.Addr, heartbeatDue: make(chan struct{}, 1)}
}

// run dials the peer again and again until the context ends.
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

// serveConnection keeps one connection: heartbeats and calls out, heartbeats and answers
// in. A connection on which nothing comes back for PeerTimeout is closed, as a network
// partition gives no error.
func (l *link) serveConnection(ctx context.Context, conn net.Conn) {
	ctx, c := newConnection(ctx, conn)
	l.calls.open(c.out)
	c.sending.Go(func() {
		defer c.cancel()
		l.sendHeartbeats(ctx, c.out)
	})
	_ = readLines(conn, l.receive) // however it ends, the peer is dialled again
	l.setConnected(false)
	l.calls.close()
	c.close()
}

// sendHeartbeats sends one at every interval, and at once when due, until the context ends.
func (l *link) sendHeartbeats(ctx context.Context, out *lineWriter) {
	for ctx.Err() == nil {
		own := l.hub.LocalHeartbeat()
		if out.write(&message{Heartbeat: &own}) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.heartbeatDue:
		case <-time.After(tuning.HeartbeatInterval):
		}
	}
}

// receive handles a line of the peer.
func (l *link) receive(m *message) {
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

// call sends a call to the peer and waits for the answer.
func (l *link) call(ctx context.Context, c Call) (Response, error) {
	answer, out := l.calls.add(&c)
	if out == nil {
		return Response{}, ErrUnreachable
	}
	if err := out.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	select {
	case response, ok := <-answer:
		if !ok {
			return Response{}, ErrUnreachable
		}
		return response, nil
	case <-ctx.Done():
		l.calls.remove(c.ID, answer)
		return Response{}, ctx.Err()
	}
}
