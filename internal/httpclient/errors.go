package httpclient

import (
	"errors"
	"fmt"
)

var (
	// ErrNoResponse means that there was no response, or an invalid one. Unless the error is also an
	// ErrNotSent, the request may have been executed.
	ErrNoResponse = errors.New("no answer")
	// ErrNotSent means that the request was not sent because there was no connection, so it is never
	// executed. It wraps ErrNoResponse for callers that do not distinguish the two errors.
	ErrNotSent = fmt.Errorf("%w: no connection", ErrNoResponse)
)

// NoResponseError is an error that matches ErrNoResponse and has the request and the cause.
type NoResponseError struct {
	Method string
	URI    string
	Err    error
}

// Error returns a text with the request and the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%v: %s %s: %v", ErrNoResponse, e.Method, e.URI, e.Err)
}

// Unwrap returns ErrNoResponse and the cause.
func (e *NoResponseError) Unwrap() []error { return []error{ErrNoResponse, e.Err} }

// StatusError is the error for a response whose status means a failure.
type StatusError struct {
	Method string
	URI    string
	Status int
	// Err is what the status means, as an error of the package that sent the request.
	Err error
}

// Error returns a text with Err, the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s %s: status %d", e.Err, e.Method, e.URI, e.Status)
}

// Unwrap returns Err.
func (e *StatusError) Unwrap() error { return e.Err }
