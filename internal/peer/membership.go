package peer

import (
	"time"

	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/tuning"
)

// member is the last heartbeat of a peer.
type member struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// isRecent reports whether the heartbeat is not older than the peer's timeout.
func (m *member) isRecent(now time.Time) bool {
	return now.Sub(m.receivedAt) <= tuning.PeerTimeout
}

// SendHeartbeats sends heartbeats at once, after a change of leadership.
func (h *Hub) SendHeartbeats() {
	for _, l := range h.links {
		select {
		case l.heartbeatDue <- struct{}{}:
		default:
		}
	}
}

// recordHeartbeat records a peer's heartbeat. A policy counts only from a peer that leads
// with the lease, and of its own term.
func (h *Hub) recordHeartbeat(b *Heartbeat) {
	h.mu.Lock()
	h.members[b.Node] = member{heartbeat: *b, receivedAt: time.Now()}
	h.mu.Unlock()
	if !b.IsLeader {
		return
	}
	h.OnLeaderTerm(b.Term)
	if h.OnPolicy != nil && b.Policy != nil && b.Policy.Term == b.Term {
		h.OnPolicy(*b.Policy)
	}
}

// OfferedLoads are what the users of the peers within reach submit.
func (h *Hub) OfferedLoads() []admission.NodeOfferedLoad {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []admission.NodeOfferedLoad
	for _, l := range h.links {
		m := h.members[l.name]
		if m.heartbeat.OfferedLoad != nil && m.isRecent(now) {
			load := *m.heartbeat.OfferedLoad
			load.Node = l.name
			all = append(all, load)
		}
	}
	return all
}

// LinkedToLeader reports whether a peer that leads with the lease is directly in reach.
func (h *Hub) LinkedToLeader() bool { return h.route(false, false) != nil }

// ReachesLeader reports whether a leader is in reach, directly or through a peer.
func (h *Hub) ReachesLeader() bool { return h.route(false, true) != nil }

// route picks the link for a call: to the leader of the highest term, or, for a call that
// may be relayed, to a peer that reaches one. A worker's heartbeat may also go to a
// leader in its grace period.
func (h *Hub) route(isHeartbeat, mayRelay bool) *link {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var direct, relay *link
	var highestTerm uint64
	for _, l := range h.links {
		m := h.members[l.name]
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
