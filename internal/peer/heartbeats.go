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
func (m *receivedHeartbeat) isRecent(now time.Time) bool {
	return now.Sub(m.receivedAt) <= tuning.PeerTimeout
}

// SendHeartbeats makes all links send a heartbeat immediately, so that the peers learn of a change
// of leadership without delay.
func (h *Hub) SendHeartbeats() {
	for _, l := range h.links {
		select {
		case l.heartbeatDue <- struct{}{}:
		default:
		}
	}
}

// recordHeartbeat stores a peer's heartbeat. It passes on an admission policy only if the peer
// holds the leader's lease and the policy is of the peer's own term.
func (h *Hub) recordHeartbeat(b *Heartbeat) {
	h.mu.Lock()
	h.lastHeartbeats[b.Node] = receivedHeartbeat{heartbeat: *b, receivedAt: time.Now()}
	h.mu.Unlock()
	if !b.IsLeader {
		return
	}
	h.OnLeaderTerm(b.Term)
	if h.OnPolicy != nil && b.Policy != nil && b.Policy.Term == b.Term {
		h.OnPolicy(*b.Policy)
	}
}

// OfferedLoads returns the offered load of each peer whose last heartbeat is recent.
func (h *Hub) OfferedLoads() []admission.NodeOfferedLoad {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var loads []admission.NodeOfferedLoad
	for _, l := range h.links {
		m := h.lastHeartbeats[l.name]
		if m.heartbeat.OfferedLoad != nil && m.isRecent(now) {
			load := *m.heartbeat.OfferedLoad
			load.Node = l.name
			loads = append(loads, load)
		}
	}
	return loads
}

// LinkedToLeader reports whether this node has a direct link to a leader that holds the lease.
func (h *Hub) LinkedToLeader() bool { return h.route(false, false) != nil }

// ReachesLeader reports whether calls can reach a leader, directly or through a peer.
func (h *Hub) ReachesLeader() bool { return h.route(false, true) != nil }

// route returns the link on which to send a call, or nil if there is none. It chooses the leader
// of the highest term. If no leader is linked and the call may be relayed, it chooses a peer that
// reaches one. A worker's heartbeat may also go to a leader in its grace period.
func (h *Hub) route(isHeartbeat, mayRelay bool) *link {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var direct, relay *link
	var highestTerm uint64
	for _, l := range h.links {
		m := h.lastHeartbeats[l.name]
		if !l.connected || !m.isRecent(now) {
			continue
		}
		b := &m.heartbeat
		if (b.IsLeader || isHeartbeat && b.InGracePeriod) && b.Term >= highestTerm {
			direct, highestTerm = l, b.Term
		}
		if b.ReachesLeader {
			relay = l
		}
	}
	if direct == nil && mayRelay {
		return relay
	}
	return direct
}
