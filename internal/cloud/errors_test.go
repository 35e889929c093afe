package cloud

import (
	"errors"
	"net/http"
	"testing"

	"switchshore.example/switchshore/internal/httpclient"
)

// TestMeaningOfStatuses: only a status that says so counts as nothing done.
func TestMeaningOfStatuses(t *testing.T) {
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
		if got := statusCause(status); !errors.Is(got, want) {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
