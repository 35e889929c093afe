package machines

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// lifecycle holds the state of a machine from provisioning to release.
type lifecycle struct {
	provisionedAt         time.Time
	joined                bool      // has sent a heartbeat, in this term or under an earlier leader
	reconciled            bool      // a task list of the machine was applied in this term
	releasing             bool      // its release has begun
	failed                bool      // the cloud has listed it as failed
	inStartRecord         bool      // a stored start record names the machine
	missingFromCloudLists int       // number of successive cloud lists that lack the machine
	firstListedAt         time.Time // when a cloud list first contained it in this term, or zero
	idleSince             time.Time // when it lost its last attempt or was reconciled
	// releaseBy is the time by which the machine has to be released because the start of an ended
	// job may still arrive late. It is zero if there is no such start.
	releaseBy time.Time
}

// ProvisionedAt returns when the machine was provisioned, as far as this leader knows.
func (l *lifecycle) ProvisionedAt() time.Time { return l.provisionedAt }

// SetProvisionedAt sets when the machine was provisioned.
func (l *lifecycle) SetProvisionedAt(at time.Time) { l.provisionedAt = at }

// HasJoined reports whether the machine has sent a heartbeat, in this term or under an earlier
// leader.
func (l *lifecycle) HasJoined() bool { return l.joined }

// IsReconciled reports whether a task list of the machine has been applied in this term. Its
// attempts then include all tasks that may be running on it.
func (l *lifecycle) IsReconciled() bool { return l.reconciled }

// MarkReconciled records that a task list of the machine has been applied. It returns true for the
// first one in this term.
func (l *lifecycle) MarkReconciled(now time.Time) (first bool) {
	if l.reconciled {
		return false
	}
	l.reconciled = true
	l.idleSince = now
	return true
}

// MarkInStartRecord records that a stored start record names the machine. The machine thus had
// joined under an earlier leader.
func (l *lifecycle) MarkInStartRecord() { l.inStartRecord, l.joined = true, true }

// IsBeingReleased reports whether the release of the machine has begun.
func (l *lifecycle) IsBeingReleased() bool { return l.releasing }

// BeginRelease records that the release of the machine has begun.
func (l *lifecycle) BeginRelease() { l.releasing = true }

// IdleFor returns the time since the machine lost its last attempt or was reconciled, whichever
// is later.
func (l *lifecycle) IdleFor(now time.Time) time.Duration { return now.Sub(l.idleSince) }

// WasListedByCloud reports whether a cloud list of this term has contained the machine.
func (l *lifecycle) WasListedByCloud() bool { return !l.firstListedAt.IsZero() }

// ApplyCloudListing applies the machine's entry in a cloud list that was requested at requestedAt.
func (m *Machine) ApplyCloudListing(requestedAt, now time.Time, row *wire.ListedMachine) {
	// A machine that an earlier leader provisioned is older than this term. If it counted as new,
	// it would be kept for the minimum billing time once more even if it is idle.
	if at := requestedAt.Add(-seconds.Duration(row.AgeS)); at.Before(m.provisionedAt) {
		m.provisionedAt = at
	}
	if m.Addr == "" {
		m.Addr = row.Addr
	}
	if m.firstListedAt.IsZero() {
		m.firstListedAt = now
	}
	m.missingFromCloudLists = 0
	if row.State == wire.MachineFailed {
		m.failed = true
	}
}

// CountMissingFromCloudList counts a cloud list that lacks the machine. It returns true if the list
// proves that the machine was deleted. Once listed, a machine stays listed as long as it exists,
// and a list shows a state that is at most longestLag older than the request. So a list that was
// requested more than longestLag after the first listing lacks the machine only if it was deleted.
func (l *lifecycle) CountMissingFromCloudList(requestedAt time.Time, longestLag time.Duration) (deleted bool) {
	if !l.WasListedByCloud() && !l.inStartRecord {
		return false
	}
	l.missingFromCloudLists++
	return l.WasListedByCloud() && requestedAt.Sub(l.firstListedAt) > longestLag
}
