package records

import (
	"errors"
	"fmt"
)

// ErrCorrupt is matched by every CorruptError.
var ErrCorrupt = errors.New("damaged record")

// Reasons why a record is corrupt.
var (
	ErrMissingPiece      = errors.New("piece of the job record is missing")
	ErrJobIDMismatch     = errors.New("record of another job")
	ErrUnknownFinalState = errors.New("unknown final state")
)

// CorruptError reports an invalid stored record without which the leader's state would be
// wrong.
type CorruptError struct {
	Key string
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("%v %s: %v", ErrCorrupt, e.Key, e.Err) }

// Unwrap makes the error match ErrCorrupt and its reason.
func (e *CorruptError) Unwrap() []error { return []error{ErrCorrupt, e.Err} }
