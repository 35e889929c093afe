// Package drain decides how machines are taken out of service batch by batch, with the
// disruption of each team's work held within its budget. It is pure: it reads no clock,
// does no I/O, and works on what it is given.
package drain

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"switchshore.example/switchshore/wire"
)

// FieldError is a field that is missing or wrong.
type FieldError = wire.FieldError

// Spec is what an operator asks for. It never changes once it is accepted.
type Spec struct {
	Name     string   `json:"name" xml:"name,attr" validate:"drainname"`
	Selector Selector `json:"selector" xml:"selector"`
	// Replace rents a replacement for every machine of a batch before the batch goes.
	Replace bool `json:"replace,omitempty" xml:"replace"`
	// BatchSize is the number of machines drained at a time.
	BatchSize int `json:"batchSize" xml:"batchSize" validate:"min=1,max=1000"`
	// Deadline, if set, is when a drain that makes no progress is paused, or with Force goes on
	// with tasks that have no other place.
	Deadline *time.Time `json:"deadline,omitempty" xml:"deadline"`
	Force    bool       `json:"force,omitempty" xml:"force"`
}

// Selector says which machines are drained: those that match all of its fields.
type Selector struct {
	Zone     string   `json:"zone,omitempty" xml:"zone"`
	Type     string   `json:"type,omitempty" xml:"type"`
	Machines []string `json:"machines,omitempty" xml:"machine" validate:"dive,min=1,max=64"`
	// RentedBefore, if set, leaves out machines rented later.
	RentedBefore *time.Time `json:"rentedBefore,omitempty" xml:"rentedBefore"`
}

// drainName is what a drain may be called: it is part of a key.
var drainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var validate = newValidator()

// newValidator returns a validator that names fields as the operators' files do.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("xml"), ",")
		return name
	})
	_ = v.RegisterValidation("drainname", func(f validator.FieldLevel) bool { return drainName.MatchString(f.Field().String()) })
	return v
}

// fieldError turns the first finding of the validator into a FieldError.
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

// Validate checks all of a spec that can be checked without knowing the deployment; now is the
// time of day.
func (s *Spec) Validate(now time.Time) error {
	if err := validate.Struct(s); err != nil {
		return fieldError(err)
	}
	switch {
	case s.Selector.empty():
		return &FieldError{Field: "selector", Reason: "selects nothing"}
	case s.Deadline != nil && !s.Deadline.After(now):
		return &FieldError{Field: "deadline", Reason: "lies in the past"}
	case s.Force && s.Deadline == nil:
		return &FieldError{Field: "force", Reason: "needs a deadline"}
	}
	return nil
}

// Deployment is what of a deployment a selector may name.
type Deployment struct {
	Zones, Types []string
	HasMachine   func(name string) bool
}

// ValidateFor checks that a spec names only what the deployment has.
func (s *Spec) ValidateFor(d Deployment) error {
	if zone := s.Selector.Zone; zone != "" && !slices.Contains(d.Zones, zone) {
		return &FieldError{Field: "selector/zone", Reason: fmt.Sprintf("%q is not a zone of this deployment", zone)}
	}
	if name := s.Selector.Type; name != "" && !slices.Contains(d.Types, name) {
		return &FieldError{Field: "selector/type", Reason: fmt.Sprintf("%q is not a machine type of this deployment", name)}
	}
	for _, name := range s.Selector.Machines {
		if !d.HasMachine(name) {
			return &FieldError{Field: "selector/machine", Reason: fmt.Sprintf("%q is not a machine of this deployment", name)}
		}
	}
	return nil
}

// Equal reports whether two specs ask for the same.
func (s *Spec) Equal(o *Spec) bool {
	return s.Name == o.Name && s.Replace == o.Replace && s.BatchSize == o.BatchSize && s.Force == o.Force &&
		s.Selector.equal(&o.Selector) && equalTimes(s.Deadline, o.Deadline)
}

func (s *Selector) equal(o *Selector) bool {
	return s.Zone == o.Zone && s.Type == o.Type && slices.Equal(s.Machines, o.Machines) && equalTimes(s.RentedBefore, o.RentedBefore)
}

func equalTimes(a, b *time.Time) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Equal(*b)
}

func (s *Selector) empty() bool {
	return s.Zone == "" && s.Type == "" && len(s.Machines) == 0 && s.RentedBefore == nil
}

// Machine is what a selector asks of a machine.
type Machine struct {
	Name, Type, Zone string
	RentedAt         time.Time
}

// Selects reports whether a machine is to be drained.
func (s *Selector) Selects(m Machine) bool {
	switch {
	case s.Zone != "" && s.Zone != m.Zone, s.Type != "" && s.Type != m.Type:
		return false
	case len(s.Machines) > 0 && !slices.Contains(s.Machines, m.Name):
		return false
	}
	return s.RentedBefore == nil || m.RentedAt.Before(*s.RentedBefore)
}

// SelectsAllOf reports whether nothing of a type is to be rented in a zone while the drain is in
// force: it would be selected at once.
func (s *Selector) SelectsAllOf(machineType, zone string) bool {
	if len(s.Machines) > 0 || s.RentedBefore != nil {
		return false
	}
	return (s.Zone == "" || s.Zone == zone) && (s.Type == "" || s.Type == machineType)
}
