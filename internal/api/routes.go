package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// jobPrefix is the path prefix of requests about one job.
const jobPrefix = wire.PathJobs + "/"

// route passes a request to the handler for its path.
func (s *Server) route(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case path == wire.PathHeartbeat:
		requireMethod(rc, fasthttp.MethodPost, s.handleHeartbeat)
	case path == wire.PathHealth:
		requireMethod(rc, fasthttp.MethodGet, s.handleHealth)
	case path == wire.PathJobs:
		requireMethod(rc, fasthttp.MethodPost, s.handleSubmission)
	case strings.HasPrefix(path, jobPrefix):
		s.routeJob(rc, path[len(jobPrefix):])
	default:
		respondError(rc, fasthttp.StatusNotFound, "not found")
	}
}

// routeJob passes a request about one job to its handler. The path, without the prefix, is a job
// ID, or a job ID and an action.
func (s *Server) routeJob(rc *fasthttp.RequestCtx, path string) {
	id, action, hasAction := strings.Cut(path, "/")
	switch {
	case !hasAction:
		requireMethod(rc, fasthttp.MethodGet, func(rc *fasthttp.RequestCtx) { s.handleJob(rc, peer.OpQuery, id) })
	case action == wire.CancelSuffix:
		requireMethod(rc, fasthttp.MethodPost, func(rc *fasthttp.RequestCtx) { s.handleJob(rc, peer.OpCancel, id) })
	default:
		respondError(rc, fasthttp.StatusNotFound, "not found")
	}
}

// requireMethod calls the handler if the request has the method, and responds with 405 otherwise.
func requireMethod(rc *fasthttp.RequestCtx, method string, handler fasthttp.RequestHandler) {
	if string(rc.Method()) != method {
		rc.Response.Header.Set(fasthttp.HeaderAllow, method)
		respondError(rc, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	handler(rc)
}

// handleHealth responds to a health check.
func (s *Server) handleHealth(rc *fasthttp.RequestCtx) {
	if !s.service.Healthy() {
		respondError(rc, fasthttp.StatusServiceUnavailable, "no leader within reach")
		return
	}
	rc.SetStatusCode(fasthttp.StatusOK)
}
