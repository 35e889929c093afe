package cloud

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
		http.StatusCreated:             nil,
		http.StatusBadRequest:          ErrInvalidRequest,
		http.StatusTooManyRequests:     ErrUnavailable,
		http.StatusServiceUnavailable:  ErrUnavailable,
		http.StatusNotFound:            httpclient.ErrNoResponse,
		http.StatusConflict:            httpclient.ErrNoResponse,
		http.StatusInternalServerError: httpclient.ErrNoResponse,
	} {
		if got := errorForStatus(status); !errors.Is(got, want) {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
