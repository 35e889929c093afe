package machines

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// capacity is what a machine has, what of it is free, and for whom.
type capacity struct {
	total, free placement.Resources
	fullUntil   time.Time
	// Until reservedUntil, free capacity is kept from work below reservedRank.
	reservedUntil time.Time
	reservedRank  int
	// snapshot is what the placement rule sees of the machine; outdated, it is made
	// anew.
	snapshot         *placement.Machine
	snapshotOutdated bool
}

// Capacity is what the machine has, zero as long as its type is not known.
func (c *capacity) Capacity() placement.Resources { return c.total }

// Free is what its attempts leave of the machine's capacity.
func (c *capacity) Free() placement.Resources { return c.free }

// SetCapacity sets the machine's capacity once its type is known.
func (c *capacity) SetCapacity(total placement.Resources) {
	if c.total == (placement.Resources{}) {
		c.total = total
		c.free = c.free.Add(total, 1)
	}
}

// MarkFull lets the machine take no work before the given time: it has refused a task for
// lack of capacity.
func (c *capacity) MarkFull(until time.Time) { c.fullUntil = until }

// Reserve keeps the capacity that comes free on a machine, for a moment, from work of a lower
// priority. The stopped tasks end one by one: the first capacity would otherwise be given to
// what was stopped, which would have to be stopped again, and the task that needs all of it
// would not start either.
func (c *capacity) Reserve(now time.Time, rank int) {
	if !now.Before(c.reservedUntil) || rank < c.reservedRank {
		c.reservedRank = rank
	}
	c.reservedUntil = now.Add(tuning.PreemptReservation)
}

// Reservation is the lowest priority rank for which free capacity is kept now, false if it is not.
func (c *capacity) Reservation(now time.Time) (rank int, reserved bool) {
	return c.reservedRank, now.Before(c.reservedUntil)
}

// AddAttempt counts an attempt on the machine. Only package allocation calls it.
func (m *Machine) AddAttempt(a *Attempt) {
	a.allocated = true
	m.attempts = append(m.attempts, a)
	m.free = m.free.Add(a.Job.Request(), -1)
	m.snapshotOutdated = true
}

// RemoveAttempt counts an attempt on the machine no more. Only package allocation calls it.
func (m *Machine) RemoveAttempt(now time.Time, a *Attempt) {
	a.allocated = false
	i := slices.Index(m.attempts, a)
	m.attempts = slices.Delete(m.attempts, i, i+1)
	m.free = m.free.Add(a.Job.Request(), 1)
	m.snapshotOutdated = true
	if len(m.attempts) == 0 {
		m.idleSince = now
	}
}

// MarkSnapshotOutdated has the snapshot made anew.
func (c *capacity) MarkSnapshotOutdated() { c.snapshotOutdated = true }

// CachedSnapshot is what the placement rule sees of the machine, or nil if something has changed
// there, or a pass has modified it.
func (c *capacity) CachedSnapshot() *placement.Machine {
	if c.snapshotOutdated || c.snapshot.Modified {
		return nil
	}
	return c.snapshot
}

// NewSnapshot begins a new snapshot in the place of the last one: with the machine's capacity
// and images, and without placed tasks.
func (m *Machine) NewSnapshot() *placement.Machine {
	s := m.snapshot
	if s == nil {
		s = &placement.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, AvoidedJobs: m.avoidedJobs, Images: map[string]float64{}}
		m.snapshot = s
	}
	m.snapshotOutdated = false
	s.Modified = false
	s.Capacity, s.Free = m.total, m.free
	s.PlacedTasks = s.PlacedTasks[:0]
	clear(s.Images)
	for image := range m.images {
		s.Images[image] = 0
	}
	return s
}
