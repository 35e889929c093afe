// Package machines holds what is known of the provisioned machines of a term and of the attempts
// to run tasks on them. It reads no clock and does no I/O.
package machines

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// PlacementView is the machine as far as the rule asks where a task may be at all.
func (m *Machine) PlacementView() *placement.Machine {
	return &placement.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: m.Total}
}

// Machine is a provisioned machine with all attempts that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	Total                placement.Resources
	lifecycle
	agentSession
	responseDelivery
	directCalls
	failures
	capacity

	cordons CordonReason // those that do not follow from the other fields

	Attempts []*Attempt // in the order in which they came to be known
	Images   map[string]time.Time
	exited   []Exit // of the last list
	// unforgettable names exited attempts whose start may still come late: forgetting
	// them would let it run.
	unforgettable map[ExitKey]bool
}

// lifecycle is how far a machine has come between provisioning and release.
type lifecycle struct {
	ProvisionedAt time.Time
	Joined        bool // has reported to some term
	Reconciled    bool // has reported knowing this term: its list is complete
	Releasing     bool
	Failed        bool
	FromRecord    bool      // named by a start record that was loaded
	MissedLists   int       // lists in a row without the machine
	ListedAt      time.Time // first seen in the cloud's list in this term
	IdleSince     time.Time
	// releaseBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	releaseBy time.Time
}

// capacity is what is free on a machine, and for whom.
type capacity struct {
	Free      placement.Resources
	fullUntil time.Time
	// Until reservedUntil, capacity is kept from work below reservedRank.
	reservedUntil time.Time
	reservedRank  int
	// Snapshot is what the placement rule sees of the machine; outdated, it is made
	// anew.
	Snapshot         *placement.Machine
	SnapshotOutdated bool
}

// AddAttempt counts an attempt on the machine. Only package allocation calls it.
func (m *Machine) AddAttempt(a *Attempt) {
	a.allocated = true
	m.Attempts = append(m.Attempts, a)
	m.Free = m.Free.Add(a.Job.Request(), -1)
	m.SnapshotOutdated = true
}

// RemoveAttempt counts an attempt on the machine no more. Only package allocation calls it.
func (m *Machine) RemoveAttempt(now time.Time, a *Attempt) {
	a.allocated = false
	i := slices.Index(m.Attempts, a)
	m.Attempts = slices.Delete(m.Attempts, i, i+1)
	m.Free = m.Free.Add(a.Job.Request(), 1)
	m.SnapshotOutdated = true
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
}

// Find returns the attempt of a task on the machine, or nil.
func (m *Machine) Find(j *jobs.Job, index int32) *Attempt {
	for _, a := range m.Attempts {
		if a.Index == index && a.Job == j {
			return a
		}
	}
	return nil
}

// Reserve keeps the capacity that comes free on a machine, for a moment, from work of a lower
// priority. The stopped tasks end one by one: the first capacity would otherwise be given to
// what was stopped, which would have to be stopped again, and the task that needs all of it
// would not start either.
func (m *Machine) Reserve(now time.Time, rank int) {
	if !now.Before(m.reservedUntil) || rank < m.reservedRank {
		m.reservedRank = rank
	}
	m.reservedUntil = now.Add(tuning.PreemptReservation)
}

// Reservation is the lowest priority rank for which free capacity is kept now, false if it is not.
func (m *Machine) Reservation(now time.Time) (rank int, reserved bool) {
	return m.reservedRank, now.Before(m.reservedUntil)
}

// MarkFull lets the machine take no work before the given time: it has refused a task for
// lack of capacity.
func (m *Machine) MarkFull(until time.Time) { m.fullUntil = until }
