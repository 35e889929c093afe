package cloud

import (
	"errors"
	"net/http"

	"switchshore.example/switchshore/internal/httpclient"
)

// Errors of the cloud. After httpclient.ErrNoResponse, it is unknown whether the request was
// executed.
var (
	// ErrUnavailable: the cloud lacks capacity, has an outage or limits the rate, or the context
	// ended before the budget allowed the request. The request was not executed.
	ErrUnavailable = errors.New("cloud refused")
	// ErrInvalidRequest: the cloud rejected the request as invalid and did not execute it.
	ErrInvalidRequest = errors.New("malformed request")
)

// errorForStatus returns the error that a response's status stands for, nil for 2xx.
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
