package tuning

import "time"

// Links between nodes.
const (
	// HeartbeatInterval is the interval between heartbeats from node to node.
	HeartbeatInterval = 400 * time.Millisecond
	// PeerTimeout is the time without heartbeats after which a peer is unreachable.
	PeerTimeout = 1500 * time.Millisecond
	// PeerRedialDelay is the delay between dials.
	PeerRedialDelay = 300 * time.Millisecond
	// PeerDialTimeout bounds a dial.
	PeerDialTimeout = 1 * time.Second
	// PeerMaxCalls bounds the calls in flight on a link. Each worker has one heartbeat
	// in flight, and right after a failover all of some thousand workers may send
	// theirs through one follower. That node's socket limit is the effective bound.
	PeerMaxCalls = 8192
	// PeerMaxLine bounds a line between nodes, in bytes: a request or response body
	// with its envelope.
	PeerMaxLine = 160 << 10
	// PeerBuffer is the size of a link's read buffer. PeerMaxPending bounds the data
	// queued to be written: one heartbeat from each of some thousand machines with a
	// dozen tasks each. Both are in bytes.
	PeerBuffer     = 32 << 10
	PeerMaxPending = 16 << 20
	// PeerFlushDelay is how long lines accumulate between two writes on a link.
	PeerFlushDelay = 2 * time.Millisecond
)

// Health and operators' commands.
const (
	// HealthGracePeriod is how long a node that reaches no leader reports healthy: a
	// failover takes a few seconds, and being marked unhealthy costs more.
	HealthGracePeriod = 8 * time.Second
	// HealthGracePeriodLeaderKnown replaces HealthGracePeriod while an unreachable node
	// holds the leader key. It is longer than the key outlives a crashed leader, and
	// longer than the successor takes to announce itself on its links.
	HealthGracePeriodLeaderKnown = 4500 * time.Millisecond
	// OperatorTimeout bounds how long an operator's command waits for its node: longer
	// than a node waits for the leader, and the leader for the key-value store.
	OperatorTimeout = 15 * time.Second
)
