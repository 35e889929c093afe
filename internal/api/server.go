// Package api is the HTTP server of a node for users, workers and health checks.
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

// Minimum connection limits, used if the process's limits would allow fewer.
const (
	minConnections       = 16
	minWorkerConnections = 8
)

// Service handles requests on this node or at the leader.
type Service interface {
	// Handle carries out a call and returns the response for the caller.
	Handle(ctx context.Context, c peer.Call) peer.Response
	// Healthy reports whether this node can handle requests.
	Healthy() bool
}

// Server is the HTTP server of a node.
type Server struct {
	service Service
	http    *fasthttp.Server
	workers workerConnections
	ctx     context.Context // context of Run, used for calls since fasthttp provides none
}

// New returns a server that limits its connections according to the process's limits.
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

// connectionLimits returns how many connections may be open in total, and how many of them
// workers may keep open.
func connectionLimits(limits config.ProcessLimits) (total, workers int) {
	if limits.MaxConnections <= 0 {
		return fasthttp.DefaultConcurrency, fasthttp.DefaultConcurrency
	}
	sockets := float64(limits.MaxConnections)
	total = max(minConnections, int(sockets*tuning.SocketShare))
	workers = max(minWorkerConnections, int(sockets*tuning.WorkerSocketShare))
	return total, workers
}

// Run serves connections from ln until the context ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	stop := context.AfterFunc(ctx, func() { _ = s.http.Shutdown() }) // Serve returns any error
	defer stop()
	return s.http.Serve(ln)
}
