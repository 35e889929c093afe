package election

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// TestAuthorityEnds: authority is counted from when the renewal was sent and
// ends before the lease can; reports are answered for the grace after it, and
// neither outlives the news of a successor.
func TestAuthorityEnds(t *testing.T) {
	sent := time.Unix(1_700_000_000, 0)
	grace := 17 * time.Second
	l := NewLeadership(3, sent)
	end := sent.Add(tuning.LeaderLeaseTTL)
	if !l.HoldsLease(sent.Add(time.Second)) || l.HoldsLease(end.Add(-tuning.LeaseSafetyMargin)) {
		t.Error("authority must end a margin before the lease can")
	}
	if !l.InGracePeriod(end.Add(grace-time.Second), grace) || l.InGracePeriod(end.Add(grace), grace) {
		t.Error("reports may be answered for the grace and no longer")
	}
	l.LeaseRenewed(sent.Add(time.Second))
	if !l.HoldsLease(end.Add(-tuning.LeaseSafetyMargin)) {
		t.Error("a renewal must extend the authority")
	}
	l.Revoke()
	if l.HoldsLease(sent) || l.InGracePeriod(sent, grace) {
		t.Error("a successor is known")
	}
}
