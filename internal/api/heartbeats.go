package api

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// heartbeat takes a worker's heartbeat. Workers beyond the sockets that they may
// keep are answered on a connection for the one heartbeat: sent on to a next node,
// they would lose their leases when this one is the only node left, while the
// others here kept their sockets.
func (s *Server) heartbeat(rc *fasthttp.RequestCtx) {
	heartbeat, err := wire.ParseHeartbeat(rc.PostBody())
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.workers.keep(rc.Conn()) {
		rc.SetConnectionClose()
	}
	s.do(rc, peer.Call{Op: peer.OpHeartbeat, Heartbeat: heartbeat})
}

// workerConnections counts the connections that workers keep.
type workerConnections struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newWorkerConnections(limit int) workerConnections {
	return workerConnections{limit: limit, open: map[net.Conn]struct{}{}}
}

// keep counts a connection and reports whether it may be kept.
func (w *workerConnections) keep(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.open[conn]; known {
		return true
	}
	if len(w.open) >= w.limit {
		return false
	}
	w.open[conn] = struct{}{}
	return true
}

// onStateChange forgets a connection that has ended.
func (w *workerConnections) onStateChange(conn net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateClosed && state != fasthttp.StateHijacked {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, conn)
}
