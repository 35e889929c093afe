// Package machines holds what is known of the rented machines of a term and of the attempts
// to run tasks on them. It reads no clock and does no I/O.
package machines

import (
	"time"

	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/placement"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// PlacementView is the machine as far as the rule asks where a task may be at all.
func (m *Machine) PlacementView() *placement.Machine {
	return &placement.Machine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: m.Total}
}

// Machine is a rented machine with all that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	Total                placement.Resources
	lifecycle
	cordonSet
	agentState
	responseDelivery
	directState
	capacity

	Attempts    []*Attempt // in the order in which they came to be known
	Exited      []Exit
	Images      map[string]time.Time
	AvoidedJobs map[string]bool
	FailedJobs  map[string]bool
	// Unforgettable names exited attempts whose start may still come late: forgetting
	// them would let it run.
	Unforgettable map[ExitKey]bool
}

// lifecycle is how far a machine has come between its rental and its release.
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
	// ReleaseBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	ReleaseBy time.Time
}

// agentState is what is known of the worker's session and of its reports.
type agentState struct {
	Epoch, Sequence uint64
	LastPeriodic    uint64 // the newest of the session that the worker sent by itself
	// ExpiredEpoch is the last session known to be over; what is still heard
	// of it is old.
	ExpiredEpoch     uint64
	HeartbeatAt      time.Time // newest report taken in
	LeaseRenewedAt   time.Time // newest report answered 200
	FirstHeartbeatAt time.Time // in this term
	ReclaimAt        time.Time // zero: no notice
	// StaleHeartbeats counts the reports older than the newest since that came,
	// StaleSince is when the first of them came.
	StaleHeartbeats int
	StaleSince      time.Time
}

// responseDelivery is what shows whether our answers get to a machine that is heard.
type responseDelivery struct {
	// SteadySince is since when reports have come without a gap, EpochSince
	// since when in the present session.
	SteadySince time.Time
	EpochSince  time.Time
	// IgnoredResponses counts the answers with starts in a row that had no effect, the last
	// at IgnoredAt; ResponsesLostSince is when the machine is known not to get our
	// answers, zero while it does.
	IgnoredResponses   int
	IgnoredAt          time.Time
	ResponsesLostSince time.Time
}

// directState is that of direct calls to the machine.
type directState struct {
	// Calling: a direct call is under way. CallAfter pauses them after one
	// that got no answer.
	Calling   bool
	CallAfter time.Time
	// CallQueued: the machine is in the list of those to be called directly.
	CallQueued bool
}

// capacity is what is free on a machine, and for whom.
type capacity struct {
	Free      placement.Resources
	FullUntil time.Time
	// Until ReservedUntil, capacity is kept from work below ReservedRank.
	ReservedUntil time.Time
	ReservedRank  int
	// Snapshot is what the placement rule sees of the machine; outdated, it is made
	// anew.
	Snapshot         *placement.Machine
	SnapshotOutdated bool
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

// Reserve keeps the room that comes free on a machine, for a moment, from work of a lower
// priority. The stopped tasks leave one by one: the first room would otherwise go to what
// was stopped, which then had to be stopped again, and the task that it all was for would
// not start either.
func (m *Machine) Reserve(now time.Time, level int) {
	if !now.Before(m.ReservedUntil) || level < m.ReservedRank {
		m.ReservedRank = level
	}
	m.ReservedUntil = now.Add(tuning.PreemptReservation)
}

// IsStale reports whether a report is of a session known to be over, or not newer
// than the newest one taken in.
func (m *Machine) IsStale(r *wire.Heartbeat) bool {
	return r.AgentEpoch <= m.ExpiredEpoch || r.AgentEpoch < m.Epoch || r.AgentEpoch == m.Epoch && r.Sequence <= m.Sequence
}

// OvertakenByDirectReply reports whether a report is older than the newest message only
// because the answer to a direct call came before it, by a shorter way. Refused,
// its worker would leave its node for nothing.
func (m *Machine) OvertakenByDirectReply(r *wire.Heartbeat) bool {
	return r.AgentEpoch > m.ExpiredEpoch && r.AgentEpoch == m.Epoch && r.Sequence > m.LastPeriodic && r.Sequence <= m.Sequence
}
