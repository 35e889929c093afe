package machines

import (
	"slices"
	"strings"
)

// Registry owns the machines that are known, and the names of those that were released.
type Registry struct {
	byID     map[string]*Machine
	sorted   []*Machine // by their IDs
	released map[string]bool
}

// NewRegistry returns a registry without machines.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Machine{}, released: map[string]bool{}}
}

// Get returns a machine that is known, or nil.
func (r *Registry) Get(id string) *Machine { return r.byID[id] }

// All returns the machines in the order of their IDs. The slice is the registry's own:
// it must not be modified, nor kept while machines are added or removed.
func (r *Registry) All() []*Machine { return r.sorted }

// Len returns the number of machines.
func (r *Registry) Len() int { return len(r.sorted) }

// Add adds a machine that is not known.
func (r *Registry) Add(m *Machine) {
	r.byID[m.ID] = m
	i, _ := slices.BinarySearchFunc(r.sorted, m.ID, func(o *Machine, id string) int { return strings.Compare(o.ID, id) })
	r.sorted = slices.Insert(r.sorted, i, m)
}

// Remove forgets a machine.
func (r *Registry) Remove(m *Machine) {
	delete(r.byID, m.ID)
	if i := slices.Index(r.sorted, m); i >= 0 {
		r.sorted = slices.Delete(r.sorted, i, i+1)
	}
}

// MarkReleased notes that a name is never to be taken in again.
func (r *Registry) MarkReleased(id string) { r.released[id] = true }

// WasReleased reports whether a machine of that name has been released.
func (r *Registry) WasReleased(id string) bool { return r.released[id] }
