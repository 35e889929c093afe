package peer

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/tuning"
)

// receivedHeartbeat is a peer's heartbeat with the time of its arrival.
type receivedHeartbeat struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// isRecent reports whether the heartbeat arrived within the last PeerTimeout.
func (r *receivedHeartbeat) isRecent(now time.Time) bool {
	return now.Sub(r.receivedAt) <= tuning.PeerTimeout
}

// SendHeartbeats makes all links send a heartbeat immediately, to inform the peers of a change of
// leadership without delay.
func (h *Hub) SendHeartbeats() {
	for _, l := range h.links {
		select {
		case l.heartbeatDue <- struct{}{}:
		default: // a heartbeat has already been requested
		}
	}
}

// recordHeartbeat stores a peer's heartbeat as its last one. If the peer holds the leader's lease, it
// calls OnLeaderTerm, and also OnPolicy if the heartbeat has an admission policy of the peer's own term.
func (h *Hub) recordHeartbeat(heartbeat *Heartbeat) {
	h.mu.Lock()
	h.lastHeartbeats[heartbeat.Node] = receivedHeartbeat{heartbeat: *heartbeat, receivedAt: time.Now()}
	h.mu.Unlock()
	if !heartbeat.IsLeader {
		return
	}
	h.OnLeaderTerm(heartbeat.Term)
	if h.OnPolicy != nil && heartbeat.Policy != nil && heartbeat.Policy.Term == heartbeat.Term {
		h.OnPolicy(*heartbeat.Policy)
	}
}

// OfferedLoads returns the offered load of each peer whose last heartbeat is recent, under the name of
// the peer's link.
func (h *Hub) OfferedLoads() []admission.NodeOfferedLoad {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var loads []admission.NodeOfferedLoad
	for _, l := range h.links {
		received := h.lastHeartbeats[l.name]
		if received.heartbeat.OfferedLoad != nil && received.isRecent(now) {
			load := *received.heartbeat.OfferedLoad
			load.Node = l.name
			loads = append(loads, load)
		}
	}
	return loads
}

// LinkedToLeader reports whether this node has a link to a leader that holds the lease.
func (h *Hub) LinkedToLeader() bool { return h.route(false, false) != nil } // for a call without relay

// ReachesLeader reports whether this node is linked to a leader that holds the lease, or to a peer
// that is.
func (h *Hub) ReachesLeader() bool { return h.route(false, true) != nil } // for a call that may be relayed

// route returns the link on which to send a call, or nil if there is none. It considers only links to
// peers with a recent heartbeat, and chooses the leader of the highest term that holds the lease. For
// an agent's heartbeat, a leader in its grace period also qualifies. If no leader qualifies and the
// call may be relayed, route chooses a peer that is linked to a leader.
func (h *Hub) route(isHeartbeat, mayRelay bool) *link {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var direct, relay *link
	var highestTerm uint64
	for _, l := range h.links {
		received := h.lastHeartbeats[l.name]
		if !l.connected || !received.isRecent(now) {
			continue
		}
		heartbeat := &received.heartbeat
		if (heartbeat.IsLeader || isHeartbeat && heartbeat.InGracePeriod) && heartbeat.Term >= highestTerm {
			direct, highestTerm = l, heartbeat.Term
		}
		if heartbeat.LinkedToLeader {
			relay = l
		}
	}
	if direct == nil && mayRelay {
		return relay
	}
	return direct
}
