package drain

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"switchshore.example/switchshore/wire"
)

// FieldError is the error of a missing or invalid field of a drain or a budget.
type FieldError = wire.FieldError

// drainName matches the valid names of drains. A name is part of the key of the drain's record.
var drainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var validate = newValidator()

// newValidator returns a validator whose errors give the fields the names of their XML elements, which
// operators know.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("xml"), ",")
		return name
	})
	_ = v.RegisterValidation("drainname", isDrainName) // fails only for an empty tag or a nil function
	return v
}

// isDrainName reports whether a field is a valid name of a drain.
func isDrainName(f validator.FieldLevel) bool { return drainName.MatchString(f.Field().String()) }

// fieldError converts the first error that the validator found to a FieldError.
func fieldError(err error) error {
	var all validator.ValidationErrors
	if !errors.As(err, &all) {
		return err
	}
	first := all[0]
	_, field, _ := strings.Cut(first.Namespace(), ".")
	reason := "must be " + first.Tag() + " " + first.Param()
	switch first.Tag() {
	case "drainname":
		reason = "must be 1 to 63 lower-case letters, digits and hyphens"
	case "min", "gte":
		reason = "must be at least " + first.Param()
	case "max", "lte":
		reason = "must be at most " + first.Param()
	}
	return &FieldError{Field: strings.ReplaceAll(field, ".", "/"), Reason: reason}
}
