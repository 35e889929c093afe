package tuning

import "time"

// Direct calls: commands that the leader sends to an agent at once, instead of in the
// response to the agent's next heartbeat.
const (
	// DirectCallTimeout bounds a direct call. An agent normally replies at once.
	DirectCallTimeout = 1 * time.Second
	// DirectCallBackoff is how long the leader makes no direct calls to a machine after one
	// got no reply. During this time the machine gets its commands in responses to
	// heartbeats.
	DirectCallBackoff = 10 * time.Second
	// DirectCallCopyDelay is the longest time after a direct call at which a copy of it is
	// expected at a machine that has restarted. Operators have seen 16 s.
	DirectCallCopyDelay = 16 * time.Second
	// DirectCallConnections bounds the connections to one agent. One is enough, because
	// the calls to an agent are sequential.
	DirectCallConnections = 1
	// MaxDirectCalls bounds the direct calls in flight to all agents if the settings
	// have no connection limit.
	MaxDirectCalls = 64
	// DirectCallConnectionShare is the share of the process's connection limit for direct calls.
	DirectCallConnectionShare = 0.25
	// DirectCallIdleTimeout is how long an unused connection for direct calls stays open:
	// about two heartbeat intervals. The HTTP client keeps a goroutine for that long, even
	// after a connection was evicted from the pool: with a timeout of 90 s, there are
	// 10,000 goroutines at 2,000 machines.
	DirectCallIdleTimeout = 10 * time.Second
	// NewEpochFencingDelay is how long, after a machine's lease has expired, the leader
	// waits for a heartbeat of a new agent epoch. Without one it releases the machine,
	// because an earlier start may still run there.
	NewEpochFencingDelay = 5 * time.Second
	// The leader releases a machine that may still get a late start of an ended job, and
	// stops responding to it, after a delay of cancel_s divided by LateStartFencingDivisor.
	// The delay is shorter if the worker lease and GracePeriodReserve would not fit into
	// the rest of cancel_s.
	LateStartFencingDivisor = 3
	// MaxCommandsPerMessage bounds the commands in a response to a heartbeat and in a
	// direct call. The response must fit into a line of 64 KiB.
	MaxCommandsPerMessage = 300
)

// Failure detection of machines.
const (
	// HeartbeatTimeoutIntervals is the number of heartbeat intervals after which a machine
	// that sent no heartbeat counts as unreachable and gets no new starts.
	HeartbeatTimeoutIntervals = 2.5
	// LateHeartbeatIntervals is the number of heartbeat intervals after which a missing
	// heartbeat makes the leader request machine lists at UrgentListIntervalFactor.
	LateHeartbeatIntervals = 1.5
	// OtherZonesMinReachableShare is the share of the machines outside partitioned zones
	// that must be reachable. If fewer are, the fault is attributed to this node: rarely
	// more than a tenth of the machines fail at once, but a new leader that has not yet
	// handled the queued heartbeats misses many.
	OtherZonesMinReachableShare = 0.75
	// A zone counts as partitioned if at most PartitionMaxReachableShare of its machines
	// are reachable, and at least PartitionMinUnreachable machines are unreachable: far
	// more than fail by chance.
	PartitionMaxReachableShare = 0.25
	PartitionMinUnreachable    = 4
	// MaxIneffectiveResponses is the number of successive heartbeat responses whose starts
	// had no effect after which a machine is cordoned. It is above one, because single
	// responses may be lost.
	MaxIneffectiveResponses = 3
	// ProbeStaleHeartbeats is the number of successive heartbeats that are older than the
	// newest one received, after which the leader asks the agent itself whether it is the
	// known one. It is above one, because single delayed copies are common.
	ProbeStaleHeartbeats = 2
	// MaxStaleHeartbeats is the number of successive heartbeats that are older than the
	// newest one received, after which a machine whose lease has expired is replaced. It is
	// above one, because a few delayed copies of heartbeats arrive after every partition.
	MaxStaleHeartbeats = 3
	// UnreachableReleaseDelay is the time from the expiry of an unreachable machine's
	// lease to the release of the machine.
	UnreachableReleaseDelay = 20 * time.Second
	// BootTimeoutFactor is the multiple of a machine type's usual boot time after which a
	// machine that never sent a heartbeat is released.
	BootTimeoutFactor = 3.5
	// ReclaimNoticeMargin is a reserve for saving checkpoints on a spot machine that the
	// cloud is about to reclaim: a task is stopped when the remaining time is down to its
	// save time plus this margin.
	ReclaimNoticeMargin = 5 * time.Second
)
