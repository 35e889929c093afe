package httpclient

import (
	"errors"
	"fmt"
)

var (
	// ErrNoResponse means that a request may or may not have been carried out.
	ErrNoResponse = errors.New("no answer")
	// ErrNotSent means that there was no connection: a request was not and
	// will not be carried out. It is an ErrNoResponse, too, for callers who
	// do not distinguish them.
	ErrNotSent = fmt.Errorf("%w: no connection", ErrNoResponse)
)

// NoResponseError is an ErrNoResponse with the request and the cause.
type NoResponseError struct {
	Method string
	URI    string
	Err    error
}

// Error names the request and the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%v: %s %s: %v", ErrNoResponse, e.Method, e.URI, e.Err)
}

// Unwrap returns ErrNoResponse and the cause.
func (e *NoResponseError) Unwrap() []error { return []error{ErrNoResponse, e.Err} }

// StatusError is a response whose status says that the request was not carried out as asked.
type StatusError struct {
	Method string
	URI    string
	Status int
	// Err is what the status means to the client that has asked.
	Err error
}

// Error names the meaning, the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s %s: status %d", e.Err, e.Method, e.URI, e.Status)
}

// Unwrap returns the meaning of the status.
func (e *StatusError) Unwrap() error { return e.Err }
