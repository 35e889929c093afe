package drain

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"switchshore.example/switchshore/wire"
)

// FieldError is a field of a drain or a budget that is missing or invalid.
type FieldError = wire.FieldError

// drainName matches the names of drains, which become part of a key.
var drainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var validate = newValidator()

// newValidator returns a validator that names fields as in the operators' files.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("xml"), ",")
		return name
	})
	_ = v.RegisterValidation("drainname", isDrainName) // the only errors are an empty name and no function
	return v
}

// isDrainName validates the name of a drain.
func isDrainName(f validator.FieldLevel) bool { return drainName.MatchString(f.Field().String()) }

// fieldError turns the first error of the validator into a FieldError.
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
