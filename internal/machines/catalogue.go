package machines

import (
	"bytes"
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/wire"
)

// Catalogue holds the machine types that the cloud offers.
type Catalogue struct {
	types  map[string]wire.MachineType
	offers []wire.MachineType // as the cloud listed them last
	stored json.RawMessage
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue { return &Catalogue{types: map[string]wire.MachineType{}} }

// HasTypes reports whether any type is known.
func (c *Catalogue) HasTypes() bool { return len(c.types) > 0 }

// Type returns a type, the zero value if it is not known.
func (c *Catalogue) Type(name string) wire.MachineType { return c.types[name] }

// HasType reports whether a type is known.
func (c *Catalogue) HasType(name string) bool {
	_, ok := c.types[name]
	return ok
}

// All returns the types that were ever offered in this term, in no order.
func (c *Catalogue) All() iter.Seq[wire.MachineType] { return maps.Values(c.types) }

// Names returns the names of all types that were ever offered in this term, sorted.
func (c *Catalogue) Names() []string { return slices.Sorted(maps.Keys(c.types)) }

// OfferedTypes returns the types in the order of the cloud's last answer. The slice must not be
// modified.
func (c *Catalogue) OfferedTypes() []wire.MachineType { return c.offers }

// Update applies the types of the cloud's last answer. Those that it no longer offers are kept
// for the machines that there are.
func (c *Catalogue) Update(types []wire.MachineType) {
	c.offers = types
	for _, t := range types {
		c.types[t.Name] = t
	}
}

// SetStored notes the stored form of the types; changed is false if it was known.
func (c *Catalogue) SetStored(value json.RawMessage) (changed bool) {
	changed = !bytes.Equal(value, c.stored)
	c.stored = value
	return changed
}

// Price is what the machine costs now.
func (c *Catalogue) Price(m *Machine) float64 {
	if m.Spot {
		return c.types[m.Type].SpotPrice
	}
	return c.types[m.Type].Price
}

// Zones returns the zones in which any type is offered, with repetitions.
func (c *Catalogue) Zones() []string {
	var zones []string
	for _, t := range c.offers {
		zones = append(zones, t.Zones...)
	}
	return zones
}

// Offerings returns the kinds of machine that the cloud offers and keep accepts, one for each
// type and zone.
func (c *Catalogue) Offerings(keep func(machineType, zone string) bool) []*placement.Machine {
	var places []*placement.Machine
	for _, t := range c.offers {
		for _, zone := range t.Zones {
			if keep(t.Name, zone) {
				places = append(places, &placement.Machine{Type: t.Name, Zone: zone, Capacity: placement.MachineCapacity(t)})
			}
		}
	}
	return places
}
