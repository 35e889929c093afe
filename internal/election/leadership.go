package election

import (
	"sync/atomic"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Leadership is one term that this node has won.
type Leadership struct {
	Term          uint64
	LeaderVersion uint64
	TermVersion   uint64
	// WonAt is when the win was known: the leases of all earlier leaders had
	// expired by then.
	WonAt time.Time

	lease      uint64
	validUntil atomic.Pointer[time.Time]
	revoked    atomic.Bool
}

// NewLeadership returns a term confirmed by a renewal sent at the given time.
func NewLeadership(term uint64, sent time.Time) *Leadership {
	l := &Leadership{Term: term}
	l.MarkRenewed(sent)
	return l
}

// MarkRenewed records that a renewal sent at the given time succeeded, and extends the
// validity accordingly.
func (l *Leadership) MarkRenewed(sent time.Time) {
	until := leaseValidUntil(sent)
	l.validUntil.Store(&until)
}

// Revoke ends the leadership for good.
func (l *Leadership) Revoke() { l.revoked.Store(true) }

// HoldsLease reports whether this node certainly is the leader at now.
func (l *Leadership) HoldsLease(now time.Time) bool {
	return !l.revoked.Load() && now.Before(*l.validUntil.Load())
}

// InGracePeriod reports whether this node may still answer heartbeats of workers in
// its term: it holds the lease, or could not renew it for less than grace and does
// not know of a later leader.
func (l *Leadership) InGracePeriod(now time.Time, grace time.Duration) bool {
	return !l.revoked.Load() && now.Before(l.validUntil.Load().Add(grace))
}

// leaseValidUntil is how long a renewal sent at the given time makes this node
// certainly the leader: the lease can't expire before, as seen from this clock.
func leaseValidUntil(sent time.Time) time.Time {
	life := time.Duration(float64(tuning.LeaderLeaseTTL) * (1 - tuning.ClockDrift))
	return sent.Add(life - tuning.LeaseSafetyMargin)
}
