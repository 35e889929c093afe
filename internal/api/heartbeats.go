package api

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// handleHeartbeat handles a worker's heartbeat. If the limit for worker connections is reached,
// it responds and closes the connection. If it redirected the worker to another node instead,
// the worker's lease would expire when this is the only node left, because the other workers
// keep their connections.
func (s *Server) handleHeartbeat(rc *fasthttp.RequestCtx) {
	heartbeat, err := wire.ParseHeartbeat(rc.PostBody())
	if err != nil {
		respondError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.workers.tryKeep(rc.Conn()) {
		rc.SetConnectionClose()
	}
	s.serveCall(rc, peer.Call{Op: peer.OpHeartbeat, Heartbeat: heartbeat})
}

// workerConnections limits the connections that workers keep open.
type workerConnections struct {
	limit int

	mu   sync.Mutex
	kept map[net.Conn]struct{}
}

func newWorkerConnections(limit int) workerConnections {
	return workerConnections{limit: limit, kept: map[net.Conn]struct{}{}}
}

// tryKeep reports whether a connection may be kept open, and counts it if so.
func (w *workerConnections) tryKeep(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.kept[conn]; known {
		return true
	}
	if len(w.kept) >= w.limit {
		return false
	}
	w.kept[conn] = struct{}{}
	return true
}

// onStateChange removes a connection that has ended.
func (w *workerConnections) onStateChange(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateClosed && state != fasthttp.StateHijacked {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.kept, conn)
}
