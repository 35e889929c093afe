package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/tuning"
)

// link is this node's connection to one peer.
type link struct {
	hub        *Hub
	name, addr string
	poke       chan struct{}

	up      bool // guarded by hub.mu
	mu      sync.Mutex
	out     *lineWriter
	nextID  uint64
	waiting map[uint64]chan Response
}

func (l *link) run(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.addr, tuning.PeerDialTimeout)
		if err == nil {
			l.serve(ctx, conn)
		}
		if ctxtime.Sleep(ctx, tuning.PeerRedialDelay) != nil {
			break
		}
	}
	return nil
}

// serve keeps one connection: heartbeats out, heartbeats and answers in. A connection
// on which nothing comes back for PeerTimeout is given up, as a cut gives no
// error.
func (l *link) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	out := newLineWriter(conn)
	go out.run(ctx)
	l.attach(out)
	go func() {
		defer cancel()
		l.sendHeartbeats(ctx, out)
	}()
	_ = readLines(conn, l.receive)
	l.setUp(false)
	_ = conn.Close()
	l.detach()
}

// attach lets calls go out over a connection.
func (l *link) attach(out *lineWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
	l.waiting = map[uint64]chan Response{}
}

// detach ends all calls that wait for an answer over a connection that has ended.
func (l *link) detach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = nil
	for id, ch := range l.waiting {
		delete(l.waiting, id)
		close(ch)
	}
}

// sendHeartbeats sends one at every interval, and at once when poked, until the context ends.
func (l *link) sendHeartbeats(ctx context.Context, out *lineWriter) {
	for ctx.Err() == nil {
		self := l.hub.LocalHeartbeat()
		if out.write(&message{Heartbeat: &self}) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-l.poke:
		case <-time.After(tuning.HeartbeatInterval):
		}
	}
}

// receive takes in a line of the peer.
func (l *link) receive(m *message) {
	switch {
	case m.Heartbeat != nil:
		l.hub.recordHeartbeat(m.Heartbeat)
		l.setUp(true)
	case m.Response != nil:
		l.mu.Lock()
		ch := l.waiting[m.Response.ID]
		delete(l.waiting, m.Response.ID)
		l.mu.Unlock()
		if ch != nil {
			ch <- *m.Response
		}
	}
}

func (l *link) setUp(up bool) {
	l.hub.mu.Lock()
	l.up = up
	l.hub.mu.Unlock()
}

func (l *link) call(ctx context.Context, c Call) (Response, error) {
	ch := make(chan Response, 1)
	l.mu.Lock()
	out := l.out
	if out == nil || len(l.waiting) >= tuning.PeerMaxCalls {
		l.mu.Unlock()
		return Response{}, ErrUnreachable
	}
	l.nextID++
	c.ID = l.nextID
	l.waiting[c.ID] = ch
	l.mu.Unlock()
	if err := out.write(&message{Call: &c}); err != nil {
		return Response{}, err
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return Response{}, ErrUnreachable
		}
		return a, nil
	case <-ctx.Done():
		l.mu.Lock()
		if l.waiting[c.ID] == ch {
			delete(l.waiting, c.ID)
		}
		l.mu.Unlock()
		return Response{}, ctx.Err()
	}
}
