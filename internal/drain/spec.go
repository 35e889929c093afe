package drain

import (
	"fmt"
	"slices"
	"time"
)

// Spec is a drain as requested by an operator. It doesn't change once it has been accepted.
type Spec struct {
	Name     string   `json:"name" xml:"name,attr" validate:"drainname"`
	Selector Selector `json:"selector" xml:"selector"`
	// Replace means that a replacement for every machine of a batch is provisioned before the batch
	// is cordoned.
	Replace bool `json:"replace,omitempty" xml:"replace"`
	// BatchSize is the maximum number of machines drained at a time.
	BatchSize int `json:"batchSize" xml:"batchSize" validate:"min=1,max=1000"`
	// Deadline is optional. Without Force, a drain that still has to wait after its deadline is
	// paused, unless it only waits for tasks to end or for machines to be released.
	Deadline *time.Time `json:"deadline,omitempty" xml:"deadline"`
	// Force allows the drain, after its deadline, to evict tasks that can run nowhere else.
	Force bool `json:"force,omitempty" xml:"force"`
}

// Validate checks the fields as far as possible without knowledge of the deployment; now is the
// wall-clock time. Its error is a FieldError.
func (s *Spec) Validate(now time.Time) error {
	if err := validate.Struct(s); err != nil {
		return fieldError(err)
	}
	switch {
	case s.Selector.isEmpty():
		return &FieldError{Field: "selector", Reason: "selects nothing"}
	case s.Deadline != nil && !s.Deadline.After(now):
		return &FieldError{Field: "deadline", Reason: "lies in the past"}
	case s.Force && s.Deadline == nil:
		return &FieldError{Field: "force", Reason: "needs a deadline"}
	}
	return nil
}

// Deployment holds the zones, machine types and machines that a selector may name.
type Deployment struct {
	Zones, Types []string
	HasMachine   func(name string) bool
}

// ValidateFor checks that the selector names only zones, machine types and machines of the
// deployment. Its error is a FieldError.
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

// Equal reports whether two specs are equal.
func (s *Spec) Equal(other *Spec) bool {
	return s.Name == other.Name && s.Replace == other.Replace && s.BatchSize == other.BatchSize && s.Force == other.Force &&
		s.Selector.equal(&other.Selector) && equalTimes(s.Deadline, other.Deadline)
}

// equalTimes reports whether two optional times are equal.
func equalTimes(a, b *time.Time) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Equal(*b)
}
