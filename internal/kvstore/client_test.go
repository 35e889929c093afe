package kvstore

import (
	"errors"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
)

// TestErrorForStatus checks that a request counts as not executed only if the status says so.
// After any other status its outcome is unknown.
func TestErrorForStatus(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusOK:                  nil,
		http.StatusConflict:            nil,
		http.StatusGone:                nil,
		http.StatusBadRequest:          ErrInvalidRequest,
		http.StatusNotFound:            ErrNotFound,
		http.StatusTooManyRequests:     ErrUnavailable,
		http.StatusServiceUnavailable:  ErrUnavailable,
		http.StatusInternalServerError: httpclient.ErrNoResponse,
		http.StatusBadGateway:          httpclient.ErrNoResponse,
	} {
		if got := errorForStatus(status); !errors.Is(got, want) {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
