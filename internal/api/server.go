// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"net"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// Least numbers of connections, however small the process's limits are.
const (
	minConnections       = 16
	minWorkerConnections = 8
)

// Service carries requests out, here or at the leader.
type Service interface {
	// Do carries a call out and returns what the caller is told.
	Do(ctx context.Context, c peer.Call) peer.Response
	// Healthy reports whether this node can take requests.
	Healthy() bool
}

// Server is the HTTP side of a node.
type Server struct {
	service Service
	http    *fasthttp.Server
	workers workerConnections
	ctx     context.Context // of Run, for the calls: fasthttp has none of its own
}

// New returns a server within the given limits.
func New(log zerolog.Logger, service Service, limits config.ProcessLimits) *Server {
	connections, workers := connectionLimits(limits)
	s := &Server{service: service, workers: newWorkerConnections(workers)}
	s.http = &fasthttp.Server{
		Name:                         "switchshore",
		Handler:                      s.route,
		Concurrency:                  connections,
		MaxRequestBodySize:           wire.MaxBodyBytes,
		ReadTimeout:                  tuning.ReadTimeout,
		WriteTimeout:                 tuning.WriteTimeout,
		IdleTimeout:                  tuning.ConnectionIdleTimeout,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ConnState:                    s.workers.onStateChange,
		Logger:                       &log,
	}
	return s
}

// connectionLimits divides the process's sockets: all that may be open, and those that
// workers may keep of them.
func connectionLimits(limits config.ProcessLimits) (all, workers int) {
	if limits.MaxConnections <= 0 {
		return fasthttp.DefaultConcurrency, fasthttp.DefaultConcurrency
	}
	sockets := float64(limits.MaxConnections)
	all = max(minConnections, int(sockets*tuning.SocketShare))
	workers = max(minWorkerConnections, int(sockets*tuning.WorkerSocketShare))
	return all, workers
}

// Run serves ln until the context ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	stop := context.AfterFunc(ctx, func() { _ = s.http.Shutdown() }) // Serve returns its error
	defer stop()
	return s.http.Serve(ln)
}
