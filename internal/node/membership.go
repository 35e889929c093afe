package node

import (
	"time"

	"switchshore.example/switchshore/internal/peer"
)

// peerHeartbeat tells the peers what this node knows of the leader.
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
	heartbeat.InGracePeriod = n.leadership.InGracePeriod(now, n.grace)
	if heartbeat.IsLeader {
		heartbeat.Policy = n.leader.AdmissionPolicy()
	}
	return heartbeat
}

// endTermBefore ends this node's term when a later one is known: its workers
// would otherwise stay here for all of the grace period, and out of the new leader's
// reach.
func (n *Node) endTermBefore(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && n.leadership.Term < term {
		n.leadership.Revoke()
	}
}
