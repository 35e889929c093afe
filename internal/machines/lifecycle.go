package machines

import (
	"time"

	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/wire"
)

// lifecycle holds the state of a machine from provisioning to release.
type lifecycle struct {
	provisionedAt         time.Time
	joined                bool // has sent a heartbeat, in this term or under an earlier leader
	reconciled            bool // has sent a heartbeat with this term's token: its task list is complete
	releasing             bool
	failed                bool
	inStartRecord         bool      // named in a stored start record
	missingFromCloudLists int       // cloud lists in a row that lack the machine
	firstListedAt         time.Time // first seen in the cloud's list in this term
	idleSince             time.Time
	// releaseBy is when the machine has to be released, as the start of an ended job may still
	// arrive late; zero if it doesn't have to be.
	releaseBy time.Time
}

// ProvisionedAt returns when the machine was provisioned, to the best knowledge of this term.
func (l *lifecycle) ProvisionedAt() time.Time { return l.provisionedAt }

// SetProvisionedAt sets when the machine was provisioned.
func (l *lifecycle) SetProvisionedAt(at time.Time) { l.provisionedAt = at }

// HasJoined reports whether the machine has sent a heartbeat, in this term or under an earlier
// leader.
func (l *lifecycle) HasJoined() bool { return l.joined }

// IsReconciled reports whether a task list of the machine has been applied in this term: its
// attempts are complete.
func (l *lifecycle) IsReconciled() bool { return l.reconciled }

// MarkReconciled records that a task list of the machine has been applied, and reports whether
// it is the first one in this term.
func (l *lifecycle) MarkReconciled(now time.Time) (first bool) {
	if l.reconciled {
		return false
	}
	l.reconciled = true
	l.idleSince = now
	return true
}

// MarkInStartRecord records that a stored start record names the machine, so that it had joined under
// an earlier leader.
func (l *lifecycle) MarkInStartRecord() { l.inStartRecord, l.joined = true, true }

// IsReleasing reports whether the release of the machine has begun.
func (l *lifecycle) IsReleasing() bool { return l.releasing }

// BeginRelease records that the release of the machine has begun.
func (l *lifecycle) BeginRelease() { l.releasing = true }

// IdleFor returns the time since the machine lost its last attempt or was reconciled, whichever
// is later.
func (l *lifecycle) IdleFor(now time.Time) time.Duration { return now.Sub(l.idleSince) }

// WasListedByCloud reports whether the cloud has listed the machine in this term.
func (l *lifecycle) WasListedByCloud() bool { return !l.firstListedAt.IsZero() }

// ApplyCloudListing applies the machine's row of a cloud list that was requested at requestedAt.
func (m *Machine) ApplyCloudListing(requestedAt, now time.Time, row *wire.ListedMachine) {
	// Machines that an earlier leader provisioned are older than this term. If they counted as
	// new, idle ones would be kept for their minimum billing time once more.
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

// CountMissingFromCloudList counts a cloud list that lacks the machine, and reports whether the
// machine has been deleted for certain. A machine stays listed as long as it exists. So a list
// proves the deletion if it was requested more than longestLag after the machine was first
// listed: it shows a state in which the machine was listed already.
func (l *lifecycle) CountMissingFromCloudList(requestedAt time.Time, longestLag time.Duration) (deleted bool) {
	if !l.WasListedByCloud() && !l.inStartRecord {
		return false
	}
	l.missingFromCloudLists++
	return l.WasListedByCloud() && requestedAt.Sub(l.firstListedAt) > longestLag
}
