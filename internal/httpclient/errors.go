package httpclient

import (
	"errors"
	"fmt"
)

var (
	// ErrNoResponse means that it is unknown whether a request was executed.
	ErrNoResponse = errors.New("no answer")
	// ErrNotSent means that there was no connection, so the request was not and will not be
	// executed. It wraps ErrNoResponse for callers that do not distinguish the two.
	ErrNotSent = fmt.Errorf("%w: no connection", ErrNoResponse)
)

// NoResponseError is an ErrNoResponse with the request and the cause.
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

// StatusError is the error for a response whose status reports a failure.
type StatusError struct {
	Method string
	URI    string
	Status int
	// Err is the error that the calling client assigns to the status.
	Err error
}

// Error returns a text with Err, the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s %s: status %d", e.Err, e.Method, e.URI, e.Status)
}

// Unwrap returns Err.
func (e *StatusError) Unwrap() error { return e.Err }
