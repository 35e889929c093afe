package cloud

import (
	"errors"
	"net/http"

	"switchshore.example/switchshore/internal/httpclient"
)

// Errors of requests that the cloud did not execute. The client's methods can also return
// httpclient.ErrNoResponse, after which the request may have been executed.
var (
	// ErrUnavailable means that the cloud lacks capacity, has an outage or limits the rate, or that
	// the context ended before the client's rate limiter allowed the request.
	ErrUnavailable = errors.New("cloud refused")
	// ErrInvalidRequest means that the cloud rejected the request as invalid.
	ErrInvalidRequest = errors.New("malformed request")
)

// errorForStatus returns the error for the status of a response, nil for 2xx. It returns ErrNoResponse
// for unexpected statuses, because they don't say whether the request was executed.
func errorForStatus(status int) error {
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusBadRequest:
		return ErrInvalidRequest
	}
	return httpclient.ErrNoResponse
}
