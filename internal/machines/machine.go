// Package machines holds the state of the provisioned machines and of the attempts to run tasks
// on them, for one term of the leader. It reads no clock and does no I/O.
package machines

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
)

// Machine is a provisioned machine with all attempts that may be running on it.
type Machine struct {
	// Addr is where the agent accepts direct calls, empty if unknown.
	ID, Type, Zone, Addr string
	Spot                 bool
	lifecycle
	agentSession
	agentIdentity
	responseDelivery
	directCalls
	startFence
	failures
	capacity
	explicitCordons CordonReason // set with Cordon; other reasons are derived from the fields above

	attempts    []*Attempt           // in the order in which they were added
	exited      []Exit               // exited attempts in the last task list
	imageSeenAt map[string]time.Time // by image: when it was last recorded on the machine
}

// New returns a machine that was provisioned at the given time. ApplyCloudListing may set an
// earlier time.
func New(provisionedAt time.Time, id, machineType, zone, addr string, spot bool) *Machine {
	return &Machine{
		ID:          id,
		Type:        machineType,
		Zone:        zone,
		Addr:        addr,
		Spot:        spot,
		lifecycle:   lifecycle{provisionedAt: provisionedAt, idleSince: provisionedAt},
		capacity:    capacity{snapshotOutdated: true},
		failures:    failures{excludedJobs: map[string]time.Time{}, countedFailedJobs: map[string]bool{}},
		imageSeenAt: map[string]time.Time{},
	}
}

// Attempts returns the attempts that may be running on the machine, in the order in which they
// were added. The caller must not modify the slice, nor keep it while attempts are released.
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

// HasImage reports whether the machine was recorded as having the image.
func (m *Machine) HasImage(image string) bool {
	_, has := m.imageSeenAt[image]
	return has
}

// RecordImage records that the machine has the image at the given time.
func (m *Machine) RecordImage(now time.Time, image string) { m.imageSeenAt[image] = now }

// Host returns the properties of the machine that decide which tasks may be placed on it. The result
// shares the machine's excluded jobs.
func (m *Machine) Host() placement.Host {
	return placement.Host{
		Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: m.total,
		Tasks: len(m.attempts), ExcludedJobs: m.excludedJobs,
	}
}
