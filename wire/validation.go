package wire

import (
	"errors"
	"math"
	"strings"
)

// FieldError reports a missing or invalid field of a message or of the settings.
type FieldError struct {
	Field  string // its name in JSON, TOML or XML
	Reason string
}

// Error returns a text with the field and the reason.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// MalformedError reports a body that can't be decoded.
type MalformedError struct {
	Cause error
}

// Error returns a text with the cause.
func (e *MalformedError) Error() string {
	return "malformed: " + publishedTypeNames.Replace(e.Cause.Error())
}

// publishedTypeNames replaces Go type names in the decoder's error texts by the former names of the
// types. Users see these texts in responses with status 400, so a renamed type must not change them.
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

// Reasons of FieldErrors that several checks use.
const (
	reasonMissing  = "missing"
	reasonNegative = "must not be negative"
	reasonEmpty    = "empty"
	reasonUnknown  = "unknown"
)

// fieldReader validates the fields of a message and keeps the first error. Each
// of its reading methods gets the JSON name of a field and its value, which is
// nil if the field is missing, and returns the value.
type fieldReader struct {
	err *FieldError
}

// fail records an error, unless one is already recorded.
func (r *fieldReader) fail(field, reason string) {
	if r.err == nil {
		r.err = &FieldError{Field: field, Reason: reason}
	}
}

// requiredString reads a required, non-empty string.
func (r *fieldReader) requiredString(field string, value *string) string {
	if value == nil || *value == "" {
		r.fail(field, reasonMissing)
		return ""
	}
	return *value
}

// requiredBool reads a required boolean.
func (r *fieldReader) requiredBool(field string, value *bool) bool {
	if value == nil {
		r.fail(field, reasonMissing)
		return false
	}
	return *value
}

// nonNegativeNumber reads a required non-negative number.
func (r *fieldReader) nonNegativeNumber(field string, value *float64) float64 {
	if value == nil {
		r.fail(field, reasonMissing)
		return 0
	}
	if *value < 0 || math.IsInf(*value, 0) || math.IsNaN(*value) {
		r.fail(field, reasonNegative)
	}
	return *value
}

// positiveNumber reads a required number above zero.
func (r *fieldReader) positiveNumber(field string, value *float64) float64 {
	n := r.nonNegativeNumber(field, value)
	if value != nil && n == 0 {
		r.fail(field, "must be above zero")
	}
	return n
}

// taskCount reads a required number of tasks, from 1 to MaxTasks.
func (r *fieldReader) taskCount(field string, value *int) int {
	if value == nil {
		r.fail(field, reasonMissing)
		return 0
	}
	if *value < 1 || *value > MaxTasks {
		r.fail(field, "out of range")
	}
	return *value
}

// optionalString reads a string that may be missing but not empty.
func (r *fieldReader) optionalString(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// optionalList reads a list that may be missing but not empty.
func (r *fieldReader) optionalList(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	if len(*value) == 0 {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// optionalNonNegativeNumber reads a number that may be missing but not negative.
func (r *fieldReader) optionalNonNegativeNumber(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	seconds := r.nonNegativeNumber(field, value)
	return &seconds
}

// distinctStrings reads a list of strings, which may be missing, and removes duplicates.
func (r *fieldReader) distinctStrings(field string, values []*string) []string {
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
