package node

import (
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// health remembers when a leader was last within reach.
type health struct {
	mu            sync.Mutex
	reachedLeader bool // once at least
	lastReached   time.Time
}

// update records whether a leader is within reach, and reports whether one was within the
// grace period.
func (h *health) update(now time.Time, reachesLeader bool, grace time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reachesLeader {
		h.reachedLeader, h.lastReached = true, now
	}
	return h.reachedLeader && now.Sub(h.lastReached) < grace
}

// Healthy reports whether requests can be taken: a leader is within reach,
// or was a moment ago. A node that knows of a leader which it can't reach becomes
// unhealthy sooner than during a failover, as users are better off elsewhere.
func (n *Node) Healthy() bool {
	now := time.Now()
	reachesLeader := n.peerHeartbeat().IsLeader || n.hub.ReachesLeader()
	grace := tuning.HealthGracePeriod
	if n.election.OtherNodeLeads() {
		grace = tuning.HealthGracePeriodLeaderKnown
	}
	return n.health.update(now, reachesLeader, grace)
}
