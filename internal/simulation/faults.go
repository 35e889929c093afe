package simulation

// Fault is a kind of fault.
type Fault int

// Faults of controllers and of their connections.
const (
	NodeCrash Fault = iota
	AllNodesCrash
	// NodeCrashLoop: a node crashes several times, and is up again within a fraction of a second.
	NodeCrashLoop
	// StoreOutage: the key-value store is down for all.
	StoreOutage
	// StoreUnreachable: one node gets no response from the key-value store.
	StoreUnreachable
	StoreSlow
	LeaderStoreUnreachable
	// LeaderFrozen: the leader is suspended while its clocks run on.
	LeaderFrozen
	// LeaderIsolated: the leader reaches neither the store nor other controllers, but its agents.
	LeaderIsolated
	// NodesPartitioned: two nodes can't reach each other.
	NodesPartitioned
	// ZonePartitioned: a zone is separated from everything, and some messages are delayed.
	ZonePartitioned
	lastNodeFault = ZonePartitioned
)

// Faults of machines and their agents.
const (
	// MachinePartitioned: it has no network; messages may arrive late.
	MachinePartitioned Fault = lastNodeFault + 1 + iota
	// MachineResponsesLost: its heartbeats arrive, responses and commands do not.
	MachineResponsesLost
	// MachineHangs: it does nothing, and continues later.
	MachineHangs
	// MachineFails: it fails, or is reclaimed without a notice.
	MachineFails
	// SpotReclaimed: spot machines are reclaimed, with a notice.
	SpotReclaimed
	// AgentReplaced: a new agent on the same machine knows nothing.
	AgentReplaced
	// MachineHeartbeatsLost: it reaches no controller, direct calls reach it.
	MachineHeartbeatsLost
	lastMachineFault = MachineHeartbeatsLost
)

// Faults of the cloud, and of the leader with the key-value store.
const (
	// FastBoots: new machines have booted within two seconds.
	FastBoots Fault = lastMachineFault + 1 + iota
	// StoreRefusesLeader: the key-value store answers 503 to the leader alone.
	StoreRefusesLeader
	// OutageAfterCancellation: and then to all, for longer than a cancellation may take.
	OutageAfterCancellation
	// RepeatedFailovers: ten in two minutes.
	RepeatedFailovers
	lastServiceFault = RepeatedFailovers
)

// Faults of messages, and requests of users at the wrong moment.
const (
	// WriteResponsesLost: transactions are executed at once, their responses are lost.
	WriteResponsesLost Fault = lastServiceFault + 1 + iota
	// WritesDelayed: transactions are executed late, after newer ones.
	WritesDelayed
	// HeartbeatsDuplicated: copies arrive again, up to some leases later.
	HeartbeatsDuplicated
	// HeartbeatsReplayedToNextLeader: copies arrive just as the next term starts.
	HeartbeatsReplayedToNextLeader
	// FollowUpQueries: users query all nodes after every response.
	FollowUpQueries
	// RunningJobsCancelled: many jobs, some of whose machines hang.
	RunningJobsCancelled
	// CancelledAtCompletion: jobs are cancelled just as their last task completes.
	CancelledAtCompletion
	// InvalidSubmissions: requests are repeated, invalid or impossible.
	InvalidSubmissions
	numberOfFaults = int(InvalidSubmissions) + 1
)
