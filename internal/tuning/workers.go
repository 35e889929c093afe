package tuning

import "time"

// Direct commands to workers.
const (
	// DirectTimeout bounds a direct call; a worker replies at once.
	DirectTimeout = 1 * time.Second
	// DirectBackoff is how long a machine gets commands only in responses to its
	// heartbeats after a direct call without a reply.
	DirectBackoff = 10 * time.Second
	// DirectConnections bounds the connections to one worker: calls to it are
	// sequential.
	DirectConnections = 1
	// DirectMaxCalls bounds the direct calls in flight if no socket limit is set.
	DirectMaxCalls = 64
	// DirectSocketShare is the share of the socket limit for direct calls.
	DirectSocketShare = 0.25
	// WorkerIdleTimeout is how long an unused connection for direct calls stays open:
	// about two heartbeat intervals. The HTTP client keeps a goroutine for that long,
	// even for an evicted connection: a timeout of 90 s keeps 10,000 goroutines at
	// 2,000 machines.
	WorkerIdleTimeout = 10 * time.Second
	// FencingDelay is how long a machine whose lease has expired may send heartbeats of
	// a new epoch before it is released because an earlier start may still run there.
	FencingDelay = 5 * time.Second
	// FencingDivisor is the divisor of cancel_s that gives the delay after which a
	// machine that may still get a late start of an ended job is released and gets no
	// more responses. The delay is shorter if the worker lease and GracePeriodReserve
	// would not fit into the rest of cancel_s.
	FencingDivisor = 3
	// MaxCommandsPerResponse bounds the commands in a response, which must fit into a
	// line of 64 KiB.
	MaxCommandsPerResponse = 300
)

// Failure detection of machines.
const (
	// HeartbeatTimeoutIntervals is the number of heartbeat intervals without a
	// heartbeat after which a machine is unreachable and gets no new starts.
	HeartbeatTimeoutIntervals = 2.5
	// LateHeartbeatIntervals is the number of heartbeat intervals after which a
	// missing heartbeat makes the next machine list urgent.
	LateHeartbeatIntervals = 1.5
	// ReachableShare is the share of the machines outside a partitioned zone that must
	// be reachable; otherwise the fault is attributed to this node. Rarely more than a
	// tenth of the machines fail at once, but a new leader with all heartbeats still
	// queued misses many.
	ReachableShare = 0.75
	// PartitionedShare is the largest share of a zone's machines that may still be
	// reachable, and PartitionedMachines is the smallest number that must be
	// unreachable, for the zone to count as partitioned: far more than fail by chance.
	PartitionedShare    = 0.25
	PartitionedMachines = 4
	// MaxIneffectiveResponses is the number of successive responses whose starts had no
	// effect after which a machine is cordoned. Single responses may be lost.
	MaxIneffectiveResponses = 3
	// MaxStaleHeartbeats is the number of successive heartbeats older than the newest
	// one after which a machine whose lease has expired is replaced: a few delayed
	// copies follow every partition.
	MaxStaleHeartbeats = 3
	// UnreachableReleaseDelay is the delay between the expiry of an unreachable
	// machine's lease and its release.
	UnreachableReleaseDelay = 20 * time.Second
	// BootTimeoutFactor is the multiple of the nominal boot time after which a
	// machine that never sent a heartbeat is released.
	BootTimeoutFactor = 3.5
	// ReclaimNoticeMargin is added to a task's save time if the reclaim notice of a
	// spot instance leaves barely enough time for the save.
	ReclaimNoticeMargin = 5 * time.Second
)
