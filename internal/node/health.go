package node

import (
	"sync"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// health tracks when a leader was last reachable from this node.
type health struct {
	mu          sync.Mutex
	everReached bool
	lastReached time.Time
}

// update records whether a leader is reachable now, and reports whether one was during the
// last grace period.
func (h *health) update(now time.Time, reachesLeader bool, grace time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reachesLeader {
		h.everReached, h.lastReached = true, now
	}
	return h.everReached && now.Sub(h.lastReached) < grace
}

// Healthy reports whether this node can handle requests: a leader is reachable, or was during
// the last grace period. The grace period is shorter if another node leads and is unreachable
// than during a failover, because other nodes can then serve the users.
func (n *Node) Healthy() bool {
	now := time.Now()
	reachesLeader := n.peerHeartbeat().IsLeader || n.hub.ReachesLeader()
	grace := tuning.HealthGracePeriod
	if n.election.OtherNodeLeads() {
		grace = tuning.HealthGracePeriodLeaderKnown
	}
	return n.health.update(now, reachesLeader, grace)
}
