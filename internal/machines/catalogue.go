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

// Catalogue holds the machine types that the cloud has offered in this term.
type Catalogue struct {
	types   map[string]wire.MachineType
	offered []wire.MachineType // the types of the cloud's last response, in its order
	stored  json.RawMessage    // the encoded types as last written to the key-value store
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue { return &Catalogue{types: map[string]wire.MachineType{}} }

// HasAnyType reports whether the catalogue contains at least one type.
func (c *Catalogue) HasAnyType() bool { return len(c.types) > 0 }

// Type returns the type of that name, or the zero value if it is unknown.
func (c *Catalogue) Type(name string) wire.MachineType { return c.types[name] }

// HasType reports whether the catalogue contains the type with the name.
func (c *Catalogue) HasType(name string) bool {
	_, ok := c.types[name]
	return ok
}

// AllTypes returns all types that the cloud has offered in this term, in no particular order.
func (c *Catalogue) AllTypes() iter.Seq[wire.MachineType] { return maps.Values(c.types) }

// TypeNames returns the names of all types that the cloud has offered in this term, sorted.
func (c *Catalogue) TypeNames() []string { return slices.Sorted(maps.Keys(c.types)) }

// OfferedTypes returns the types of the cloud's last response, in its order. The caller must not
// modify the slice.
func (c *Catalogue) OfferedTypes() []wire.MachineType { return c.offered }

// SetOfferedTypes applies the types of the cloud's last response. Types that are no longer offered
// stay in the catalogue, as machines of these types may still exist.
func (c *Catalogue) SetOfferedTypes(types []wire.MachineType) {
	c.offered = types
	for _, t := range types {
		c.types[t.Name] = t
	}
}

// SetStoredTypes records the encoded types that the key-value store contains or is about to
// contain. It reports whether they differ from the previous ones.
func (c *Catalogue) SetStoredTypes(value json.RawMessage) (changed bool) {
	changed = !bytes.Equal(value, c.stored)
	c.stored = value
	return changed
}

// Price returns the current price of the machine, which depends on whether it is a spot machine.
func (c *Catalogue) Price(m *Machine) float64 {
	if m.Spot {
		return c.types[m.Type].SpotPrice
	}
	return c.types[m.Type].Price
}

// OfferedZones returns the zones in which the cloud offers types. A zone may occur several times.
func (c *Catalogue) OfferedZones() []string {
	var zones []string
	for _, t := range c.offered {
		zones = append(zones, t.Zones...)
	}
	return zones
}

// Offerings returns the offered pairs of type and zone for which include returns true. Each pair is
// returned as an on-demand machine without tasks.
func (c *Catalogue) Offerings(include func(machineType, zone string) bool) []*placement.Host {
	var offerings []*placement.Host
	for _, t := range c.offered {
		for _, zone := range t.Zones {
			if include(t.Name, zone) {
				offerings = append(offerings, &placement.Host{Type: t.Name, Zone: zone, Capacity: placement.MachineCapacity(t)})
			}
		}
	}
	return offerings
}
