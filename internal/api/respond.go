package api

import (
	"strconv"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// serveCall passes a call to the service and sends its response to the caller.
func (s *Server) serveCall(rc *fasthttp.RequestCtx, c peer.Call) {
	response := s.service.Handle(s.ctx, c)
	var body []byte
	switch {
	case response.Heartbeat != nil:
		body = encode(response.Heartbeat)
	case response.Job != nil:
		body = encode(response.Job)
	default:
		body = encode(wire.Error{Error: response.Reason})
	}
	respond(rc, response.Status, max(response.RetryAfter, tuning.RetryAfterS), body)
}

// respondError sends an error status with the reason.
func respondError(rc *fasthttp.RequestCtx, status int, reason string) {
	respond(rc, status, tuning.RetryAfterS, encode(wire.Error{Error: reason}))
}

// respond writes a response. A 503 or 429 also carries Retry-After.
func respond(rc *fasthttp.RequestCtx, status, retryAfterS int, body []byte) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterS))
	}
	rc.SetBody(body)
}

// encode returns a message of package wire as a JSON body.
func encode(message any) []byte {
	body, _ := json.Marshal(message) // can't fail: strings, numbers and lists of them
	return body
}
