package node

import (
	"time"

	"switchshore.example/switchshore/internal/peer"
)

// peerHeartbeat returns the heartbeat that this node sends to its peers. It contains this node's
// offered load and whether the node is linked to the leader. If the node leads, it also contains
// the term and the admission policy.
func (n *Node) peerHeartbeat() peer.Heartbeat {
	heartbeat := peer.Heartbeat{Node: n.config.Name, LinkedToLeader: n.hub.LinkedToLeader()}
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
	heartbeat.InGracePeriod = n.leadership.MayRespondToHeartbeats(now, n.gracePeriod)
	if heartbeat.IsLeader {
		heartbeat.Policy = n.leader.AdmissionPolicy()
	}
	return heartbeat
}

// revokeEarlierTerm revokes this node's leadership if its term is earlier than the given one.
// Otherwise this node's agents would stay connected to it for the whole grace period, and the
// successor could not reach them.
func (n *Node) revokeEarlierTerm(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && n.leadership.Term < term {
		n.leadership.Revoke()
	}
}
