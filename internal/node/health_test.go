package node

import (
	"testing"
	"time"
)

// TestHealthGracePeriod checks that a node is healthy from when it first reaches a leader until
// the grace period after it last reached one, so that a failover doesn't make it unhealthy.
func TestHealthGracePeriod(t *testing.T) {
	const grace = 10 * time.Second
	start := time.Unix(1_700_000_000, 0)
	var h health
	for _, c := range []struct {
		after   time.Duration
		reaches bool
		healthy bool
	}{
		{0, false, false},
		{time.Second, true, true},
		{10 * time.Second, false, true},
		{11 * time.Second, false, false},
		{12 * time.Second, true, true},
		{21 * time.Second, false, true},
	} {
		if got := h.update(start.Add(c.after), c.reaches, grace); got != c.healthy {
			t.Errorf("after %v: healthy: %v", c.after, got)
		}
	}
}
