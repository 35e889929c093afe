// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/goccy/go-json"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Service carries requests out, here or at the leader.
type Service interface {
	Do(ctx context.Context, c peer.Call) peer.Response
	Healthy() bool
}

// Server is the HTTP side of a node.
type Server struct {
	log     zerolog.Logger
	service Service
	http    *fasthttp.Server
	workers conns
	ctx     context.Context
}

// New returns a server within the given limits.
func New(log zerolog.Logger, s Service, limits config.ProcessLimits) *Server {
	connections, workers := fasthttp.DefaultConcurrency, fasthttp.DefaultConcurrency
	if limits.MaxConnections > 0 {
		connections = max(16, int(float64(limits.MaxConnections)*tuning.SocketShare))
		workers = max(8, int(float64(limits.MaxConnections)*tuning.WorkerShare))
	}
	srv := &Server{log: log, service: s, workers: conns{most: workers, open: map[net.Conn]struct{}{}}}
	srv.http = &fasthttp.Server{
		Name:                         "switchshore",
		Handler:                      srv.handle,
		Concurrency:                  connections,
		MaxRequestBodySize:           wire.MaxBodyBytes,
		ReadTimeout:                  tuning.ReadTimeout,
		WriteTimeout:                 tuning.WriteTimeout,
		IdleTimeout:                  tuning.ConnectionIdleTimeout,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ConnState:                    srv.workers.state,
		Logger:                       &log,
	}
	return srv
}

// Run serves ln until the context ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	stop := context.AfterFunc(ctx, func() { _ = s.http.Shutdown() })
	defer stop()
	return s.http.Serve(ln)
}

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case path == wire.PathHeartbeat:
		if only(rc, fasthttp.MethodPost) {
			s.report(rc)
		}
	case path == wire.PathHealth:
		if !only(rc, fasthttp.MethodGet) {
			return
		}
		if s.service.Healthy() {
			rc.SetStatusCode(fasthttp.StatusOK)
		} else {
			refuse(rc, fasthttp.StatusServiceUnavailable, "no leader within reach")
		}
	case path == wire.PathJobs:
		if only(rc, fasthttp.MethodPost) {
			s.submit(rc)
		}
	case strings.HasPrefix(path, wire.PathJobs+"/"):
		id, end, hasEnd := strings.Cut(path[len(wire.PathJobs)+1:], "/")
		switch {
		case !hasEnd:
			if only(rc, fasthttp.MethodGet) {
				s.job(rc, peer.Call{Op: peer.OpQuery, Job: id})
			}
		case end == wire.CancelSuffix:
			if only(rc, fasthttp.MethodPost) {
				s.job(rc, peer.Call{Op: peer.OpCancel, Job: id})
			}
		default:
			refuse(rc, fasthttp.StatusNotFound, "not found")
		}
	default:
		refuse(rc, fasthttp.StatusNotFound, "not found")
	}
}

// only answers 405 unless the request has the method.
func only(rc *fasthttp.RequestCtx, method string) bool {
	if string(rc.Method()) == method {
		return true
	}
	rc.Response.Header.Set(fasthttp.HeaderAllow, method)
	refuse(rc, fasthttp.StatusMethodNotAllowed, "method not allowed")
	return false
}

func refuse(rc *fasthttp.RequestCtx, status int, why string) {
	body, _ := json.Marshal(wire.Error{Error: why})
	reply(rc, status, tuning.RetryAfterS, body)
}

func reply(rc *fasthttp.RequestCtx, status, retryAfter int, body []byte) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfter))
	}
	rc.SetBody(body)
}

func (s *Server) submit(rc *fasthttp.RequestCtx) {
	job, err := wire.ParseJob(rc.PostBody())
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.do(rc, peer.Submit(job))
}

// report takes a worker's report. Workers beyond the sockets that they may
// keep are answered on a connection for the one report: sent on to a next node,
// they would lose their leases when this one is the only node left, while the
// others here kept their sockets.
func (s *Server) report(rc *fasthttp.RequestCtx) {
	r, err := wire.ParseHeartbeat(rc.PostBody())
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.workers.admit(rc.Conn()) {
		rc.SetConnectionClose()
	}
	s.do(rc, peer.Call{Op: peer.OpHeartbeat, Heartbeat: r})
}

func (s *Server) job(rc *fasthttp.RequestCtx, c peer.Call) {
	if !wire.ValidID(c.Job) {
		refuse(rc, fasthttp.StatusNotFound, "no such job")
		return
	}
	s.do(rc, c)
}

func (s *Server) do(rc *fasthttp.RequestCtx, c peer.Call) {
	a := s.service.Do(s.ctx, c)
	var body []byte
	switch {
	case a.Heartbeat != nil:
		body, _ = json.Marshal(a.Heartbeat)
	case a.Job != nil:
		body, _ = json.Marshal(a.Job)
	default:
		body, _ = json.Marshal(wire.Error{Error: a.Reason})
	}
	reply(rc, a.Status, max(a.RetryAfter, tuning.RetryAfterS), body)
}

// conns counts the connections that workers keep.
type conns struct {
	most int

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// admit counts a connection and reports whether it may be kept.
func (c *conns) admit(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.open[conn]; known {
		return true
	}
	if len(c.open) >= c.most {
		return false
	}
	c.open[conn] = struct{}{}
	return true
}

func (c *conns) state(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateClosed || state == fasthttp.StateHijacked {
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}
}
