package machines

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// lifecycle is how far a machine has come between provisioning and release.
type lifecycle struct {
	provisionedAt time.Time
	joined        bool // has reported to some term
	reconciled    bool // has reported knowing this term: its list is complete
	releasing     bool
	failed        bool
	recorded      bool      // named by a start record that was loaded
	missedLists   int       // lists in a row without the machine
	listedAt      time.Time // first seen in the cloud's list in this term
	idleSince     time.Time
	// releaseBy is when the machine has to be released, as a start of an ended
	// job may still come late; zero for never.
	releaseBy time.Time
}

// ProvisionedAt is when the machine was provisioned, as far as is known.
func (l *lifecycle) ProvisionedAt() time.Time { return l.provisionedAt }

// SetProvisionedAt notes when the machine was provisioned.
func (l *lifecycle) SetProvisionedAt(at time.Time) { l.provisionedAt = at }

// HasJoined reports whether the machine has reported to some term.
func (l *lifecycle) HasJoined() bool { return l.joined }

// IsReconciled reports whether the machine has reported knowing this term: what is known of its
// tasks is complete.
func (l *lifecycle) IsReconciled() bool { return l.reconciled }

// MarkReconciled notes that the machine's task list has been applied, and reports whether it is
// the first one.
func (l *lifecycle) MarkReconciled(now time.Time) (first bool) {
	if l.reconciled {
		return false
	}
	l.reconciled = true
	l.idleSince = now
	return true
}

// MarkRecorded notes that a stored start record names the machine: it was up under an earlier
// leader.
func (l *lifecycle) MarkRecorded() { l.recorded, l.joined = true, true }

// IsReleasing reports whether the release of the machine has begun.
func (l *lifecycle) IsReleasing() bool { return l.releasing }

// BeginRelease notes that the release of the machine has begun.
func (l *lifecycle) BeginRelease() { l.releasing = true }

// IdleFor is the time since the machine had an attempt, or since its attempts became known.
func (l *lifecycle) IdleFor(now time.Time) time.Duration { return now.Sub(l.idleSince) }

// IsListed reports whether the cloud has listed the machine in this term.
func (l *lifecycle) IsListed() bool { return !l.listedAt.IsZero() }

// ApplyListed applies the machine's row of a list that was asked for at the given time.
func (m *Machine) ApplyListed(asked, now time.Time, row *wire.ListedMachine) {
	// What a predecessor provisioned is older than this term: a successor that
	// took it for new kept idle machines through their minimum billing time again.
	if at := asked.Add(-seconds.Duration(row.AgeS)); at.Before(m.provisionedAt) {
		m.provisionedAt = at
	}
	if m.Addr == "" {
		m.Addr = row.Addr
	}
	if m.listedAt.IsZero() {
		m.listedAt = now
	}
	m.missedLists = 0
	if row.State == wire.MachineFailed {
		m.failed = true
	}
}

// CountMissingFromList counts a list that lacks the machine, and reports whether the machine provably no
// longer exists. A machine stays listed as long as it exists: a list that was asked for later
// than the longest lag of lists after the machine was first listed describes a time at which it
// had been listed.
func (l *lifecycle) CountMissingFromList(asked time.Time, longestLag time.Duration) (gone bool) {
	if !l.IsListed() && !l.recorded {
		return false
	}
	l.missedLists++
	return l.IsListed() && asked.Sub(l.listedAt) > longestLag
}
