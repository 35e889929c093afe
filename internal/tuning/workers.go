package tuning

import "time"

// Direct commands to workers.
const (
	// DirectTimeout bounds a direct call; a worker answers at once.
	DirectTimeout = 1 * time.Second
	// DirectBackoff is how long a machine gets commands only in answers to its
	// heartbeats after a direct call without an answer.
	DirectBackoff = 10 * time.Second
	// DirectConnections bounds the connections to one worker: calls to it are
	// made one after the other.
	DirectConnections = 1
	// DirectMaxCalls bounds the direct calls in flight if there is no socket limit.
	DirectMaxCalls = 64
	// DirectSocketShare is the share of the socket limit for direct calls.
	DirectSocketShare = 0.25
	// WorkerIdleTimeout closes connections for direct calls that were unused for
	// this long: about two heartbeat intervals. The HTTP client keeps a goroutine
	// for as long, also for a connection that was evicted: with 90 s they were
	// 10,000 at 2,000 machines.
	WorkerIdleTimeout = 10 * time.Second
	// FencingDelay is how long a machine whose lease has expired may send
	// heartbeats of a new epoch before it is released for a start that may still
	// run there.
	FencingDelay = 5 * time.Second
	// FencingDivisor is the part of cancel_s (one over it) after which a machine
	// that may still get a late start of an ended job is released and not answered
	// any more; sooner, if lease and reserve would not fit into the rest of cancel_s.
	FencingDivisor = 3
	// MaxCommandsPerResponse bounds the commands of an answer, which must fit into
	// a line of 64 KiB.
	MaxCommandsPerResponse = 300
)

// Failure detection of machines.
const (
	// HeartbeatTimeoutIntervals is the number of heartbeat intervals after which a
	// machine without heartbeats is unreachable and gets no new starts.
	HeartbeatTimeoutIntervals = 2.5
	// LateHeartbeatIntervals is the number of heartbeat intervals after which a
	// missing heartbeat makes the next machine list urgent.
	LateHeartbeatIntervals = 1.5
	// ReachableShare is the share of the machines outside a partitioned zone that
	// must be reachable for the others to be at fault, and not this node: hardly
	// more than a tenth fail at once, but a new leader with all heartbeats waiting
	// misses many.
	ReachableShare = 0.75
	// PartitionedShare is the largest share of a zone's machines that may still be
	// reachable, and PartitionedMachines the smallest number that must be
	// unreachable, for the zone to count as partitioned: far more than fail by chance.
	PartitionedShare    = 0.25
	PartitionedMachines = 4
	// MaxIneffectiveResponses is the number of answers in a row whose starts had no
	// effect after which a machine is cordoned: single ones are lost.
	MaxIneffectiveResponses = 3
	// MaxStaleHeartbeats is the number of heartbeats older than the newest, with
	// none newer between them, that a machine whose lease has expired may send
	// before it is replaced: a few late copies follow every partition.
	MaxStaleHeartbeats = 3
	// UnreachableReleaseDelay is how long after the expiry of its lease an
	// unreachable machine is kept before it is released.
	UnreachableReleaseDelay = 20 * time.Second
	// BootTimeoutFactor is the multiple of the nominal boot time after which a
	// machine that never sent a heartbeat is released.
	BootTimeoutFactor = 3.5
	// ReclaimNoticeMargin is added to a task's save time where a spot instance's
	// reclaim notice leaves only just enough.
	ReclaimNoticeMargin = 5 * time.Second
)
