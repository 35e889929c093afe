package kvstore

import (
	"errors"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
)

// TestMeaningOfStatuses: only a status that says so counts as not carried out.
func TestMeaningOfStatuses(t *testing.T) {
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
		if got := statusCause(status); !errors.Is(got, want) {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
