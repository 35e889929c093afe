package machines

import (
	"slices"
	"strings"
)

// Registry holds the provisioned machines, and the IDs of released ones.
type Registry struct {
	byID     map[string]*Machine
	sorted   []*Machine // by ID
	released map[string]bool
}

// NewRegistry returns a registry without machines.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Machine{}, released: map[string]bool{}}
}

// Get returns the machine with the ID, or nil.
func (r *Registry) Get(id string) *Machine { return r.byID[id] }

// All returns the machines in the order of their IDs. The caller must not modify the slice, nor
// keep it while machines are added or removed.
func (r *Registry) All() []*Machine { return r.sorted }

// Len returns the number of machines.
func (r *Registry) Len() int { return len(r.sorted) }

// Add adds a machine. The registry must not hold one with the same ID.
func (r *Registry) Add(m *Machine) {
	r.byID[m.ID] = m
	i, _ := slices.BinarySearchFunc(r.sorted, m.ID, func(o *Machine, id string) int { return strings.Compare(o.ID, id) })
	r.sorted = slices.Insert(r.sorted, i, m)
}

// Remove removes a machine, if the registry holds it.
func (r *Registry) Remove(m *Machine) {
	delete(r.byID, m.ID)
	if i := slices.Index(r.sorted, m); i >= 0 {
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}

// MarkReleased records that the machine with the ID was released. Callers use WasReleased to avoid
// adding it again, for example because of a delayed heartbeat.
func (r *Registry) MarkReleased(id string) { r.released[id] = true }

// WasReleased reports whether the machine with the ID was released.
func (r *Registry) WasReleased(id string) bool { return r.released[id] }
