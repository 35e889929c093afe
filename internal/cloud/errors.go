package cloud

import (
	"errors"
	"net/http"

	"switchshore.example/switchshore/internal/httpclient"
)

// Errors of the cloud. httpclient.ErrNoResponse stands for an unknown outcome.
var (
	// ErrUnavailable: no capacity, too many calls or an outage; nothing was done.
	ErrUnavailable = errors.New("cloud refused")
	// ErrInvalidRequest: the cloud did not understand the request; nothing was done.
	ErrInvalidRequest = errors.New("malformed request")
)

// statusCause is what a status says of the request, nil if it was carried out.
func statusCause(status int) error {
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
