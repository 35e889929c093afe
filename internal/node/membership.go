package node

import (
	"time"

	"switchshore.example/switchshore/internal/peer"
)

// peerHeartbeat returns the heartbeat for the peers: this node's leadership or its connection
// to the leader, the load that its users offer, and the leader's admission policy.
func (n *Node) peerHeartbeat() peer.Heartbeat {
	heartbeat := peer.Heartbeat{Node: n.config.Name, ReachesLeader: n.hub.LinkedToLeader()}
	if n.gate != nil {
		heartbeat.OfferedLoad = n.gate.offeredLoad(n.config.Name)
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == nil {
		return heartbeat
	}
	heartbeat.Term = n.leadership.Term
	heartbeat.IsLeader = n.leadership.HoldsLease(now)
	heartbeat.InGracePeriod = n.leadership.InGracePeriod(now, n.gracePeriod)
	if heartbeat.IsLeader {
		heartbeat.Policy = n.leader.AdmissionPolicy()
	}
	return heartbeat
}

// revokeTermBefore revokes this node's leadership if its term is earlier than the given one.
// Otherwise its workers would stay connected to it for the whole grace period, where the new
// leader can't reach them.
func (n *Node) revokeTermBefore(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && n.leadership.Term < term {
		n.leadership.Revoke()
	}
}
