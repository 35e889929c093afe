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

// Minimum connection limits, used if the shares of the process's limit would be lower.
const (
	minConnections       = 16
	minWorkerConnections = 8
)

// Service handles requests on this node or at the leader.
type Service interface {
	// Handle executes a call and returns the response for the client.
	Handle(ctx context.Context, c peer.Call) peer.Response
	// Healthy reports whether this node can handle requests.
	Healthy() bool
}

// Server is the HTTP server of a node.
type Server struct {
	service     Service
	httpServer  *fasthttp.Server
	workerConns workerConnections
	ctx         context.Context // the context of Run, for calls: fasthttp provides no context that ends with Run
}

// New returns a server that derives its connection limits from the process's limits.
func New(log zerolog.Logger, service Service, limits config.ProcessLimits) *Server {
	connections, workers := connectionLimits(limits)
	s := &Server{service: service, workerConns: newWorkerConnections(workers)}
	s.httpServer = &fasthttp.Server{
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
		ConnState:                    s.workerConns.onStateChange,
		Logger:                       &log,
	}
	return s
}

// connectionLimits returns how many connections may be open in total, and how many of them
// workers may keep open, so that they can't use up those of users and health checks.
func connectionLimits(limits config.ProcessLimits) (total, workers int) {
	if limits.MaxConnections <= 0 {
		return fasthttp.DefaultConcurrency, fasthttp.DefaultConcurrency
	}
	maxConnections := float64(limits.MaxConnections)
	total = max(minConnections, int(maxConnections*tuning.ConnectionShare))
	workers = max(minWorkerConnections, int(maxConnections*tuning.WorkerConnectionShare))
	return total, workers
}

// Run serves connections from ln until the context ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.ctx = ctx
	stop := context.AfterFunc(ctx, func() { _ = s.httpServer.Shutdown() }) // errors are returned by Serve
	defer stop()
	return s.httpServer.Serve(ln)
}
