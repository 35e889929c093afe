// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Service carries requests out, here or at the leader.
type Service interface {
	Do(ctx context.Context, c peer.Call) peer.Answer
	Healthy() bool
}

// Server is the HTTP side of a node.
type Server struct {
	log     zerolog.Logger
	service Service
	http    *fasthttp.Server
	ctx     context.Context
}

// New returns a server within the given limits.
func New(log zerolog.Logger, s Service, limits config.Limits) *Server {
	connections := fasthttp.DefaultConcurrency
	if limits.MaxConnections > 0 {
		connections = max(16, int(float64(limits.MaxConnections)*tuning.SocketShare))
	}
	srv := &Server{log: log, service: s}
	srv.http = &fasthttp.Server{
		Name:                         "switchshore",
		Handler:                      srv.handle,
		Concurrency:                  connections,
		MaxRequestBodySize:           wire.MaxBody,
		ReadTimeout:                  tuning.ReadLimit,
		WriteTimeout:                 tuning.WriteLimit,
		IdleTimeout:                  tuning.IdleConnection,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
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
	case path == wire.PathReport:
		if only(rc, fasthttp.MethodPost) {
			s.do(rc, peer.Call{Op: peer.OpReport, Body: rc.PostBody()})
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
		case end == wire.EndCancel:
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
	reply(rc, status, body)
}

func reply(rc *fasthttp.RequestCtx, status int, body []byte) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(tuning.RetryAfter))
	}
	rc.SetBody(body)
}

func (s *Server) submit(rc *fasthttp.RequestCtx) {
	job, err := wire.ParseJob(rc.PostBody())
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	body, err := json.Marshal(job)
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.do(rc, peer.Call{Op: peer.OpSubmit, Job: job.ID, Body: body})
}

func (s *Server) job(rc *fasthttp.RequestCtx, c peer.Call) {
	if !wire.ValidID(c.Job) {
		refuse(rc, fasthttp.StatusNotFound, "no such job")
		return
	}
	s.do(rc, c)
}

func (s *Server) do(rc *fasthttp.RequestCtx, c peer.Call) {
	if c.Op == peer.OpReport && !json.Valid(c.Body) {
		refuse(rc, fasthttp.StatusBadRequest, "malformed: not JSON")
		return
	}
	a := s.service.Do(s.ctx, c)
	reply(rc, a.Status, a.Body)
}
