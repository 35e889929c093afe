package wire

import (
	"errors"
	"math"
	"strings"
)

// FieldError reports a field of a message or of the settings that is missing or
// invalid.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// MalformedError reports a body that can't be decoded as its message.
type MalformedError struct {
	Cause error
}

func (e *MalformedError) Error() string {
	return "malformed: " + publishedTypeNames.Replace(e.Cause.Error())
}

// publishedTypeNames maps Go type names in the decoder's error texts to the names published
// earlier. Responses with status 400 contain these texts, so renaming a type must not change them.
var publishedTypeNames = strings.NewReplacer(
	"wire.Heartbeat", "wire.Report",
	"wire.TaskStatus", "wire.TaskReport",
	" Heartbeat.", " Report.",
)

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

var (
	errNotObject = errors.New("not an object")
	errNotJSON   = errors.New("not JSON")
)

// Reasons of a FieldError that several checks share.
const (
	reasonMissing  = "missing"
	reasonNegative = "must not be negative"
	reasonEmpty    = "empty"
	reasonUnknown  = "unknown"
)

// fieldReader validates the fields of a message and keeps the first error. Each
// method takes a field's JSON name and its value, which is nil if missing.
type fieldReader struct {
	err *FieldError
}

// fail records an error, unless one is already recorded.
func (r *fieldReader) fail(field, reason string) {
	if r.err == nil {
		r.err = &FieldError{Field: field, Reason: reason}
	}
}

// text reads a required, non-empty string.
func (r *fieldReader) text(field string, value *string) string {
	if value == nil || *value == "" {
		r.fail(field, reasonMissing)
		return ""
	}
	return *value
}

// flag reads a required boolean.
func (r *fieldReader) flag(field string, value *bool) bool {
	if value == nil {
		r.fail(field, reasonMissing)
		return false
	}
	return *value
}

// number reads a required non-negative number.
func (r *fieldReader) number(field string, value *float64) float64 {
	if value == nil {
		r.fail(field, reasonMissing)
		return 0
	}
	if *value < 0 || math.IsInf(*value, 0) || math.IsNaN(*value) {
		r.fail(field, reasonNegative)
	}
	return *value
}

// positive reads a required number above zero.
func (r *fieldReader) positive(field string, value *float64) float64 {
	n := r.number(field, value)
	if value != nil && n == 0 {
		r.fail(field, "must be above zero")
	}
	return n
}

// tasks reads a required number of tasks.
func (r *fieldReader) tasks(field string, value *int) int {
	if value == nil {
		r.fail(field, reasonMissing)
		return 0
	}
	if *value < 1 || *value > MaxTasks {
		r.fail(field, "out of range")
	}
	return *value
}

// optional reads a string that may be missing, but not empty.
func (r *fieldReader) optional(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// types reads a list that may be missing, but not empty.
func (r *fieldReader) types(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	if len(*value) == 0 {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// deadline reads an optional non-negative number.
func (r *fieldReader) deadline(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	seconds := r.number(field, value)
	return &seconds
}

// distinct reads a list of strings and drops duplicates.
func (r *fieldReader) distinct(field string, values []*string) []string {
	var list []string
	seen := map[string]bool{}
	for _, value := range values {
		switch {
		case value == nil:
			r.fail(field, "not a list of strings")
		case !seen[*value]:
			seen[*value] = true
			list = append(list, *value)
		}
	}
	return list
}
