package api

import (
	"strconv"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// do carries a call out and answers with its response.
func (s *Server) do(rc *fasthttp.RequestCtx, c peer.Call) {
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

// refuse answers with a status other than success and the reason.
func refuse(rc *fasthttp.RequestCtx, status int, reason string) {
	respond(rc, status, tuning.RetryAfterS, encode(wire.Error{Error: reason}))
}

// respond writes a response; the time after which to come back goes with a status that asks
// for it.
func respond(rc *fasthttp.RequestCtx, status, retryAfterS int, body []byte) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterS))
	}
	rc.SetBody(body)
}

// encode returns the body for a message of package wire.
func encode(message any) []byte {
	body, _ := json.Marshal(message) // texts, numbers and lists of them: it can't fail
	return body
}
