package node

import (
	"testing"
	"time"
)

// TestHealthOutlastsAFailover: a node is healthy from when it first reaches a leader until a
// grace period after it last did.
func TestHealthOutlastsAFailover(t *testing.T) {
	const grace = 10 * time.Second
	begun := time.Unix(1_700_000_000, 0)
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
		if got := h.update(begun.Add(c.after), c.reaches, grace); got != c.healthy {
			t.Errorf("after %v: healthy: %v", c.after, got)
		}
	}
}
