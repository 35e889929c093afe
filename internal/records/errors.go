package records

import (
	"errors"
	"fmt"
)

// ErrCorrupt matches every CorruptError.
var ErrCorrupt = errors.New("damaged record")

// Reasons why a record is corrupt.
var (
	ErrMissingPiece      = errors.New("piece of the job record is missing")
	ErrJobIDMismatch     = errors.New("record of another job")
	ErrUnknownFinalState = errors.New("unknown final state")
)

// CorruptError reports an invalid stored record that the leader needs: if it skipped the record,
// its state would be wrong.
type CorruptError struct {
	Key string
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("%v %s: %v", ErrCorrupt, e.Key, e.Err) }

// Unwrap makes the error match both ErrCorrupt and Err.
func (e *CorruptError) Unwrap() []error { return []error{ErrCorrupt, e.Err} }
