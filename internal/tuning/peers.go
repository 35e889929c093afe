package tuning

import "time"

// Links between nodes.
const (
	// HeartbeatInterval is the interval of heartbeats between nodes.
	HeartbeatInterval = 400 * time.Millisecond
	// PeerTimeout is how long a peer without heartbeats still counts as reachable.
	PeerTimeout = 1500 * time.Millisecond
	// PeerRedialDelay is the pause between dials.
	PeerRedialDelay = 300 * time.Millisecond
	// PeerDialTimeout bounds a dial.
	PeerDialTimeout = 1 * time.Second
	// PeerMaxCalls bounds the calls in flight on a link. A worker has one heartbeat
	// in flight, and all of a fleet of some thousand may send theirs through one
	// follower right after a failover; the effective bound is that node's sockets.
	PeerMaxCalls = 8192
	// PeerMaxLine bounds a line between nodes, in bytes: a body with its envelope.
	PeerMaxLine = 160 << 10
	// PeerBuffer is the size of the read buffer, PeerMaxPending bounds the data that
	// waits to be written, both in bytes: a heartbeat of each of some thousand
	// machines, with a dozen tasks on each.
	PeerBuffer     = 32 << 10
	PeerMaxPending = 16 << 20
	// PeerFlushDelay lets lines accumulate between two writes on a link.
	PeerFlushDelay = 2 * time.Millisecond
)

// Health and operators' commands.
const (
	// HealthGracePeriod is how long a node that reaches no leader stays healthy: a
	// failover takes a few seconds, and being marked unhealthy costs more.
	HealthGracePeriod = 8 * time.Second
	// HealthGracePeriodLeaderKnown is the same while the leader key is held by a
	// node out of reach: longer than the key outlives a leader that has crashed, and
	// than the links to its successor take to announce it.
	HealthGracePeriodLeaderKnown = 4500 * time.Millisecond
	// OperatorTimeout bounds the time that an operator's command waits for its node:
	// longer than a node waits for the leader, and the leader for the key-value store.
	OperatorTimeout = 15 * time.Second
)
