package election

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestLeaseValidity checks that validity counts from when the renewal was sent and ends before the
// lease can expire, that the grace period follows it, and that a revocation ends both.
func TestLeaseValidity(t *testing.T) {
	const grace = 17 * time.Second
	sent := time.Unix(1_700_000_000, 0)
	expiry := sent.Add(tuning.LeaderLeaseTTL)
	renewed := func(l *Leadership) { l.MarkRenewed(sent.Add(time.Second)) }
	for _, c := range []struct {
		name    string
		change  func(*Leadership)
		now     time.Time
		holds   bool
		inGrace bool
	}{
		{"when the renewal was sent", nil, sent, true, true},
		{"one second after the renewal", nil, sent.Add(time.Second), true, true},
		{"a margin before the lease can expire", nil, expiry.Add(-tuning.LeaseSafetyMargin), false, true},
		{"renewed", renewed, expiry.Add(-tuning.LeaseSafetyMargin), true, true},
		{"renewed, a margin before it can expire", renewed, expiry.Add(time.Second - tuning.LeaseSafetyMargin), false, true},
		{"late in the grace period", nil, expiry.Add(grace - time.Second), false, true},
		{"after the grace period", nil, expiry.Add(grace), false, false},
		{"revoked", (*Leadership).Revoke, sent, false, false},
		{"renewed and revoked", func(l *Leadership) { l.Revoke(); renewed(l) }, sent.Add(time.Second), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLeadership(3, sent)
			if c.change != nil {
				c.change(l)
			}
			if got := l.HoldsLease(c.now); got != c.holds {
				t.Errorf("holds the lease: %v", got)
			}
			if got := l.InGracePeriod(c.now, grace); got != c.inGrace {
				t.Errorf("in the grace period: %v", got)
			}
		})
	}
}
