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
	// WonAt is when this node learned that it had won the campaign. By then, no earlier leader
	// held the leader key any more.
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

// MarkRenewed records that a lease renewal sent at the given time succeeded, and extends the
// time in which HoldsLease returns true.
func (l *Leadership) MarkRenewed(sent time.Time) {
	validUntil := leaseValidUntil(sent)
	l.validUntil.Store(&validUntil)
}

// Revoke ends the leadership permanently.
func (l *Leadership) Revoke() { l.revoked.Store(true) }

// HoldsLease reports whether this node is certainly the leader at the given time: its lease can't
// have expired, and the leadership has not been revoked.
func (l *Leadership) HoldsLease(now time.Time) bool {
	return !l.revoked.Load() && now.Before(*l.validUntil.Load())
}

// MayRespondToHeartbeats reports whether this node may respond to agent heartbeats: it holds the lease,
// or its lease became invalid less than a grace period ago, and the leadership has not been revoked.
func (l *Leadership) MayRespondToHeartbeats(now time.Time, grace time.Duration) bool {
	return !l.revoked.Load() && now.Before(l.validUntil.Load().Add(grace))
}

// leaseValidUntil returns until when this node is certainly the leader after a lease renewal sent
// at the given time. By this node's clock, the lease can't expire earlier, even if the clocks of
// node and store drift apart by ClockDrift.
func leaseValidUntil(sent time.Time) time.Time {
	ttl := time.Duration(float64(tuning.LeaderLeaseTTL) * (1 - tuning.ClockDrift))
	return sent.Add(ttl - tuning.LeaseSafetyMargin)
}
