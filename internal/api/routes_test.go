package api

import (
	"context"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// recordingService responds to every call with the same response, and records the last call.
type recordingService struct {
	healthy  bool
	response peer.Response
	last     peer.Call
}

func (s *recordingService) Healthy() bool { return s.healthy }

func (s *recordingService) Handle(_ context.Context, c peer.Call) peer.Response {
	s.last = c
	return s.response
}

// serveRequest serves one request without a connection.
func serveRequest(s Service, method, path, body string) *fasthttp.RequestCtx {
	rc := &fasthttp.RequestCtx{}
	rc.Request.Header.SetMethod(method)
	rc.Request.SetRequestURI(path)
	rc.Request.SetBodyString(body)
	New(zerolog.Nop(), s, config.ProcessLimits{}).route(rc)
	return rc
}

// TestRoutes checks which call each request makes, and which status a request gets that makes none.
func TestRoutes(t *testing.T) {
	const job = wire.PathJobs + "/job-000001"
	for _, c := range []struct {
		method, path string
		status       int
		op           peer.Operation // "" for no call
		allow        string
	}{
		{"GET", wire.PathHealth, http.StatusOK, "", ""},
		{"POST", wire.PathHealth, http.StatusMethodNotAllowed, "", "GET"},
		{"GET", wire.PathHeartbeat, http.StatusMethodNotAllowed, "", "POST"},
		{"POST", wire.PathHeartbeat, http.StatusBadRequest, "", ""},
		{"GET", wire.PathJobs, http.StatusMethodNotAllowed, "", "POST"},
		{"POST", wire.PathJobs, http.StatusBadRequest, "", ""},
		{"GET", job, http.StatusAccepted, peer.OpQuery, ""},
		{"POST", job, http.StatusMethodNotAllowed, "", "GET"},
		{"POST", job + "/" + wire.CancelSuffix, http.StatusAccepted, peer.OpCancel, ""},
		{"GET", job + "/" + wire.CancelSuffix, http.StatusMethodNotAllowed, "", "POST"},
		{"POST", job + "/else", http.StatusNotFound, "", ""},
		{"GET", wire.PathJobs + "/else", http.StatusNotFound, "", ""},
		{"GET", "/else", http.StatusNotFound, "", ""},
	} {
		service := &recordingService{healthy: true, response: peer.Response{Status: http.StatusAccepted}}
		rc := serveRequest(service, c.method, c.path, "{")
		if got := rc.Response.StatusCode(); got != c.status || service.last.Op != c.op {
			t.Errorf("%s %s: %d, call %q; want %d, %q", c.method, c.path, got, service.last.Op, c.status, c.op)
		}
		if allow := string(rc.Response.Header.Peek(fasthttp.HeaderAllow)); allow != c.allow {
			t.Errorf("%s %s: Allow %q, want %q", c.method, c.path, allow, c.allow)
		}
	}
}

// TestRetryAfter checks that 503 and 429 carry a Retry-After of at least one second, and that other
// responses carry none.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		response peer.Response
		want     string
	}{
		{peer.Response{Status: http.StatusServiceUnavailable}, "1"},
		{peer.Response{Status: http.StatusTooManyRequests, RetryAfter: 7}, "7"},
		{peer.Response{Status: http.StatusUnprocessableEntity, RetryAfter: 7}, ""},
		{peer.Response{Status: http.StatusOK, Job: &wire.JobStatus{}}, ""},
	} {
		rc := serveRequest(&recordingService{response: c.response}, "GET", wire.PathJobs+"/job-000001", "")
		if got := string(rc.Response.Header.Peek(fasthttp.HeaderRetryAfter)); got != c.want {
			t.Errorf("%+v: Retry-After %q, want %q", c.response, got, c.want)
		}
	}
}

// TestUnhealthy checks that a node that reaches no leader fails the health check.
func TestUnhealthy(t *testing.T) {
	if got := serveRequest(&recordingService{}, "GET", wire.PathHealth, "").Response.StatusCode(); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
}
