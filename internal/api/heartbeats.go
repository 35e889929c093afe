package api

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// handleHeartbeat handles a worker's heartbeat. If the limit for worker connections is reached,
// the server closes the connection after the response. It doesn't reject the heartbeat: while this
// is the only node left, the worker has no other node to go to, and its lease would expire because
// the other workers keep their connections.
func (s *Server) handleHeartbeat(rc *fasthttp.RequestCtx) {
	heartbeat, err := wire.ParseHeartbeat(rc.PostBody())
	if err != nil {
		respondError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.workerConns.tryKeepOpen(rc.Conn()) {
		rc.SetConnectionClose()
	}
	s.serveCall(rc, peer.Call{Op: peer.OpHeartbeat, Heartbeat: heartbeat})
}

// workerConnections limits the connections that workers keep open.
type workerConnections struct {
	limit int

	mu       sync.Mutex
	keptOpen map[net.Conn]struct{}
}

func newWorkerConnections(limit int) workerConnections {
	return workerConnections{limit: limit, keptOpen: map[net.Conn]struct{}{}}
}

// tryKeepOpen reports whether a connection may be kept open, and if so counts it towards the limit.
// A connection that is counted already may always be kept open.
func (w *workerConnections) tryKeepOpen(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.keptOpen[conn]; known {
		return true
	}
	if len(w.keptOpen) >= w.limit {
		return false
	}
	w.keptOpen[conn] = struct{}{}
	return true
}

// onStateChange stops counting a connection when it has been closed.
func (w *workerConnections) onStateChange(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateClosed && state != fasthttp.StateHijacked {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.keptOpen, conn)
}
