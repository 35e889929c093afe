package election

import (
	"sync/atomic"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Leadership is a term for which this node was elected.
type Leadership struct {
	Term          uint64
	LeaderVersion uint64
	TermVersion   uint64
	// WonAt is when this node learned that it had won. The leases of all earlier leaders had
	// expired by then.
	WonAt time.Time

	lease      uint64
	validUntil atomic.Pointer[time.Time]
	revoked    atomic.Bool
}

// NewLeadership returns a leadership whose lease was granted or renewed by a call sent at the
// given time.
func NewLeadership(term uint64, sent time.Time) *Leadership {
	l := &Leadership{Term: term}
	l.MarkRenewed(sent)
	return l
}

// MarkRenewed records that a renewal sent at the given time succeeded, and extends the
// validity accordingly.
func (l *Leadership) MarkRenewed(sent time.Time) {
	validUntil := leaseValidUntil(sent)
	l.validUntil.Store(&validUntil)
}

// Revoke ends the leadership permanently.
func (l *Leadership) Revoke() { l.revoked.Store(true) }

// HoldsLease reports whether this node is certainly the leader at the given time.
func (l *Leadership) HoldsLease(now time.Time) bool {
	return !l.revoked.Load() && now.Before(*l.validUntil.Load())
}

// InGracePeriod reports whether this node may answer worker heartbeats in its term: it holds
// the lease, or held it until less than the grace period ago and knows of no later leader.
func (l *Leadership) InGracePeriod(now time.Time, grace time.Duration) bool {
	return !l.revoked.Load() && now.Before(l.validUntil.Load().Add(grace))
}

// leaseValidUntil returns the end of the time for which a renewal sent at the given time makes
// this node certainly the leader. By this node's clock, the lease can't expire before, even if
// the clocks drift apart by ClockDrift.
func leaseValidUntil(sent time.Time) time.Time {
	ttl := time.Duration(float64(tuning.LeaderLeaseTTL) * (1 - tuning.ClockDrift))
	return sent.Add(ttl - tuning.LeaseSafetyMargin)
}
