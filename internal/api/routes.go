package api

import (
	"strings"

	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// jobPrefix is that of the paths of single jobs.
const jobPrefix = wire.PathJobs + "/"

// route finds the handler of a request.
func (s *Server) route(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case path == wire.PathHeartbeat:
		withMethod(rc, fasthttp.MethodPost, s.heartbeat)
	case path == wire.PathHealth:
		withMethod(rc, fasthttp.MethodGet, s.health)
	case path == wire.PathJobs:
		withMethod(rc, fasthttp.MethodPost, s.submit)
	case strings.HasPrefix(path, jobPrefix):
		s.routeJob(rc, path[len(jobPrefix):])
	default:
		refuse(rc, fasthttp.StatusNotFound, "not found")
	}
}

// routeJob finds the handler of a request about one job: its ID, or its ID and an action.
func (s *Server) routeJob(rc *fasthttp.RequestCtx, path string) {
	id, action, hasAction := strings.Cut(path, "/")
	switch {
	case !hasAction:
		withMethod(rc, fasthttp.MethodGet, func(rc *fasthttp.RequestCtx) { s.job(rc, peer.OpQuery, id) })
	case action == wire.CancelSuffix:
		withMethod(rc, fasthttp.MethodPost, func(rc *fasthttp.RequestCtx) { s.job(rc, peer.OpCancel, id) })
	default:
		refuse(rc, fasthttp.StatusNotFound, "not found")
	}
}

// withMethod calls the handler if the request has the method, and answers 405 otherwise.
func withMethod(rc *fasthttp.RequestCtx, method string, handler fasthttp.RequestHandler) {
	if string(rc.Method()) != method {
		rc.Response.Header.Set(fasthttp.HeaderAllow, method)
		refuse(rc, fasthttp.StatusMethodNotAllowed, "method not allowed")
		return
	}
	handler(rc)
}

// health answers a health check.
func (s *Server) health(rc *fasthttp.RequestCtx) {
	if !s.service.Healthy() {
		refuse(rc, fasthttp.StatusServiceUnavailable, "no leader within reach")
		return
	}
	rc.SetStatusCode(fasthttp.StatusOK)
}
