package machines

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
)

// capacity holds a machine's total, free and reserved resources.
type capacity struct {
	total, free  placement.Resources
	backoffUntil time.Time // the machine gets no new tasks before this time
	// Until reservedUntil, free resources are reserved for tasks of reservedRank or a higher
	// priority. Rank 0 is the highest priority.
	reservedUntil time.Time
	reservedRank  int
	// snapshot is the machine as placement passes see it, nil before the first pass. It is rebuilt
	// when it is outdated.
	snapshot         *placement.Machine
	snapshotOutdated bool
}

// Capacity returns the machine's total resources, zero while its type is unknown.
func (c *capacity) Capacity() placement.Resources { return c.total }

// Free returns the resources that the machine's attempts leave free.
func (c *capacity) Free() placement.Resources { return c.free }

// SetCapacity sets the machine's capacity once its type is known. It ignores later calls.
func (c *capacity) SetCapacity(total placement.Resources) {
	if c.total == (placement.Resources{}) {
		c.total = total
		c.free = c.free.Add(total, 1)
	}
}

// MarkTaskRefused makes the machine unschedulable until the given time. It is called after the machine has
// refused a task, for lack of capacity or because it has another attempt of the task.
func (c *capacity) MarkTaskRefused(until time.Time) { c.backoffUntil = until }

// Reserve reserves the machine's free resources for tasks of the priority rank or a higher one,
// for tuning.PreemptReservationTime. If the machine is still reserved for a higher priority, that
// reservation keeps its priority and is extended.
//
// Preempted tasks end one by one. Without the reservation, they would be placed again in the
// resources that become free first and would have to be preempted again. The task that needs all
// of the resources could then not start.
func (c *capacity) Reserve(now time.Time, rank int) {
	if !now.Before(c.reservedUntil) || rank < c.reservedRank {
		c.reservedRank = rank
	}
	c.reservedUntil = now.Add(tuning.PreemptReservationTime)
}

// Reservation returns the lowest priority for which free resources are reserved now; reserved is
// false if there is no reservation.
func (c *capacity) Reservation(now time.Time) (rank int, reserved bool) {
	return c.reservedRank, now.Before(c.reservedUntil)
}

// AddAttempt adds an attempt and counts its resources as used. Only package allocation calls it.
func (m *Machine) AddAttempt(a *Attempt) {
	a.allocated = true
	m.attempts = append(m.attempts, a)
	m.free = m.free.Add(a.Job.Request(), -1)
	m.snapshotOutdated = true
}

// RemoveAttempt removes an attempt and frees its resources. Only package allocation calls it.
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

// MarkSnapshotOutdated marks the cached snapshot as outdated, so that it is rebuilt.
func (c *capacity) MarkSnapshotOutdated() { c.snapshotOutdated = true }

// CachedSnapshot returns the cached snapshot. It returns nil if the machine has changed since the
// snapshot was built, or a placement pass has modified the snapshot.
func (c *capacity) CachedSnapshot() *placement.Machine {
	if c.snapshotOutdated || c.snapshot.Modified {
		return nil
	}
	return c.snapshot
}

// ResetSnapshot sets the cached snapshot to the machine's current capacity and images and returns
// it. The caller adds the placed tasks, the fetch bandwidth and the price.
func (m *Machine) ResetSnapshot() *placement.Machine {
	s := m.snapshot
	if s == nil {
		s = &placement.Machine{ID: m.ID, Images: map[string]float64{}}
		m.snapshot = s
	}
	m.snapshotOutdated = false
	s.Modified = false
	s.Host, s.Free = m.Host(), m.free
	s.PlacedTasks = s.PlacedTasks[:0]
	clear(s.Images)
	for image := range m.imageSeenAt {
		s.Images[image] = 0
	}
	return s
}
