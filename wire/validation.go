package wire

import (
	"errors"
	"math"
	"strings"
)

// FieldError is a field of a submission, or of settings, that is missing or invalid.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// MalformedError is a body that is not the JSON of its message.
type MalformedError struct {
	Cause error
}

func (e *MalformedError) Error() string {
	return "malformed: " + publishedTypeNames.Replace(e.Cause.Error())
}

// publishedTypeNames keeps the names that the decoder's texts have always given to messages. Those
// texts are answered with status 400, so they must not follow the Go names of the types.
var publishedTypeNames = strings.NewReplacer(
	"wire.Heartbeat", "wire.Report",
	"wire.TaskStatus", "wire.TaskReport",
	" Heartbeat.", " Report.",
)

// Unwrap returns what is wrong with the body.
func (e *MalformedError) Unwrap() error { return e.Cause }

var (
	errNotObject = errors.New("not an object")
	errNotJSON   = errors.New("not JSON")
)

// Reasons of a FieldError that several checks give.
const (
	reasonMissing  = "missing"
	reasonNegative = "must not be negative"
	reasonEmpty    = "empty"
	reasonUnknown  = "unknown"
)

// fieldReader reads the fields of a message and keeps the first error. Each
// method takes the field's JSON name and its value, nil if it is missing.
type fieldReader struct {
	err *FieldError
}

// fail keeps an error unless there is one already.
func (r *fieldReader) fail(field, reason string) {
	if r.err == nil {
		r.err = &FieldError{Field: field, Reason: reason}
	}
}

// text reads a text that is not empty.
func (r *fieldReader) text(field string, value *string) string {
	if value == nil || *value == "" {
		r.fail(field, reasonMissing)
		return ""
	}
	return *value
}

// flag reads a truth value.
func (r *fieldReader) flag(field string, value *bool) bool {
	if value == nil {
		r.fail(field, reasonMissing)
		return false
	}
	return *value
}

// number reads an amount that is not negative.
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

// positive reads an amount above zero.
func (r *fieldReader) positive(field string, value *float64) float64 {
	n := r.number(field, value)
	if value != nil && n == 0 {
		r.fail(field, "must be above zero")
	}
	return n
}

// tasks reads a task count.
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

// optional reads a text that may be left out, but not empty.
func (r *fieldReader) optional(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// types reads a list that may be left out, but not empty.
func (r *fieldReader) types(field string, value *[]string) []string {
	if value == nil {
		return nil
	}
	if len(*value) == 0 {
		r.fail(field, reasonEmpty)
	}
	return *value
}

// deadline reads an amount that may be left out.
func (r *fieldReader) deadline(field string, value *float64) *float64 {
	if value == nil {
		return nil
	}
	seconds := r.number(field, value)
	return &seconds
}

// distinct reads a list of texts, each of them once.
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
