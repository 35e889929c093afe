package tuning

import "time"

// Links between controller nodes (peers).
const (
	// PeerHeartbeatInterval is the interval between the heartbeats of a node to a peer.
	PeerHeartbeatInterval = 400 * time.Millisecond
	// PeerTimeout is the time without heartbeats after which a peer is unreachable.
	PeerTimeout = 1500 * time.Millisecond
	// PeerRedialDelay is the delay before a node dials a peer again.
	PeerRedialDelay = 300 * time.Millisecond
	// PeerDialTimeout bounds one attempt to connect to a peer.
	PeerDialTimeout = 1 * time.Second
	// PeerMaxCalls bounds the calls in flight on a link. Each agent has one heartbeat
	// in flight, and right after a failover some thousand agents may all send their
	// heartbeats through one follower. In practice the connection limit of that follower is
	// reached first.
	PeerMaxCalls = 8192
	// PeerMaxLineBytes bounds a line of the protocol between nodes, which is a request or
	// response body with its envelope.
	PeerMaxLineBytes = 160 << 10
	// PeerReadBufferBytes is the size of a link's read buffer. PeerMaxPendingBytes bounds
	// the data queued to be written: enough for one heartbeat from each of some thousand
	// machines with a dozen tasks each.
	PeerReadBufferBytes = 32 << 10
	PeerMaxPendingBytes = 16 << 20
	// PeerFlushDelay is how long lines accumulate before they are written to a link.
	PeerFlushDelay = 2 * time.Millisecond
)

// Health and operators' commands.
const (
	// HealthGracePeriod is how long a node that reaches no leader still reports that it
	// is healthy: a failover takes a few seconds, and marking the node unhealthy would
	// cost more than this interruption.
	HealthGracePeriod = 8 * time.Second
	// HealthGracePeriodLeaderKnown replaces HealthGracePeriod while another node holds
	// the leader key but is unreachable, because other nodes can then serve the users. It
	// is longer than the key of a crashed leader remains, and longer than a new leader
	// takes to announce itself on its links.
	HealthGracePeriodLeaderKnown = 4500 * time.Millisecond
	// OperatorTimeout bounds how long an operator's command waits for a response from its
	// node. It is longer than the node waits for the leader, and than the leader waits for
	// the key-value store.
	OperatorTimeout = 15 * time.Second
)
