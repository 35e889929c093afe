// Package machines holds what is known of the provisioned machines of a term and of the attempts
// to run tasks on them. It reads no clock and does no I/O.
package machines

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
)

// Machine is a provisioned machine with all attempts that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	lifecycle
	agentSession
	responseDelivery
	directCalls
	failures
	capacity
	cordons CordonReason // those that do not follow from the other fields

	attempts []*Attempt // in the order in which they came to be known
	exited   []Exit     // of the last list
	// unforgettable names exited attempts whose start may still come late: forgetting
	// them would let it run.
	unforgettable map[ExitKey]bool
	images        map[string]time.Time // when an attempt with the image was last seen
}

// New returns a machine that was provisioned at the given time, as far as is known.
func New(provisionedAt time.Time, id, machineType, zone, addr string, spot bool) *Machine {
	return &Machine{
		ID:            id,
		Type:          machineType,
		Zone:          zone,
		Addr:          addr,
		Spot:          spot,
		lifecycle:     lifecycle{provisionedAt: provisionedAt, idleSince: provisionedAt},
		capacity:      capacity{snapshotOutdated: true},
		failures:      failures{avoidedJobs: map[string]bool{}, failedJobs: map[string]bool{}},
		unforgettable: map[ExitKey]bool{},
		images:        map[string]time.Time{},
	}
}

// Attempts are the attempts that may be on the machine, in the order in which they came to be
// known. The slice is the machine's own: it must not be modified, nor kept while attempts are
// released.
func (m *Machine) Attempts() []*Attempt { return m.attempts }

// Find returns the attempt of a task on the machine, or nil.
func (m *Machine) Find(j *jobs.Job, index int32) *Attempt {
	for _, a := range m.attempts {
		if a.Index == index && a.Job == j {
			return a
		}
	}
	return nil
}

// HasImage reports whether the machine has an image.
func (m *Machine) HasImage(image string) bool {
	_, has := m.images[image]
	return has
}

// RecordImage notes that the machine has an image.
func (m *Machine) RecordImage(now time.Time, image string) { m.images[image] = now }

// PlacementView is the machine as far as the placement rule asks where a task may be at all.
func (m *Machine) PlacementView() *placement.Machine {
	return &placement.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: m.total}
}
