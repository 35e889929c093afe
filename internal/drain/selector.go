package drain

import (
	"slices"
	"time"
)

// Selector selects the machines that match every field that is set.
type Selector struct {
	Zone     string   `json:"zone,omitempty" xml:"zone"`
	Type     string   `json:"type,omitempty" xml:"type"`
	Machines []string `json:"machines,omitempty" xml:"machine" validate:"dive,min=1,max=64"`
	// ProvisionedBefore is the time before which a selected machine was provisioned. Operators say
	// rented for provisioned.
	ProvisionedBefore *time.Time `json:"rentedBefore,omitempty" xml:"rentedBefore"`
}

// Machine holds the properties of a machine that a selector compares.
type Machine struct {
	Name, Type, Zone string
	ProvisionedAt    time.Time
}

// Selects reports whether the selector selects a machine.
func (s *Selector) Selects(m Machine) bool {
	switch {
	case s.Zone != "" && s.Zone != m.Zone, s.Type != "" && s.Type != m.Type:
		return false
	case len(s.Machines) > 0 && !slices.Contains(s.Machines, m.Name):
		return false
	}
	return s.ProvisionedBefore == nil || m.ProvisionedAt.Before(*s.ProvisionedBefore)
}

// SelectsAllOf reports whether the selector selects every machine of a type in a zone, including
// machines that are provisioned later.
func (s *Selector) SelectsAllOf(machineType, zone string) bool {
	if len(s.Machines) > 0 || s.ProvisionedBefore != nil {
		return false
	}
	return (s.Zone == "" || s.Zone == zone) && (s.Type == "" || s.Type == machineType)
}

// equal reports whether two selectors have equal fields.
func (s *Selector) equal(other *Selector) bool {
	return s.Zone == other.Zone && s.Type == other.Type && slices.Equal(s.Machines, other.Machines) && equalTimes(s.ProvisionedBefore, other.ProvisionedBefore)
}

// isEmpty reports whether no field is set.
func (s *Selector) isEmpty() bool {
	return s.Zone == "" && s.Type == "" && len(s.Machines) == 0 && s.ProvisionedBefore == nil
}
