package cloud

import (
	"errors"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
)

// TestErrorForStatus checks that only the statuses 400, 429 and 503 mean that a request was not
// executed. After any other error status, the request may have been executed.
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
			t.Errorf("status %d: got %v, want %v", status, got, want)
		}
	}
}
