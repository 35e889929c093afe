package simulation

// Fault is a kind of fault that the simulation injects.
type Fault int

// Faults of controllers and of their connections.
const (
	NodeCrash Fault = iota
	AllNodesCrash
	// NodeCrashLoop: a node crashes several times and restarts within a fraction of a second each
	// time.
	NodeCrashLoop
	// StoreOutage: the key-value store is down for all nodes.
	StoreOutage
	// StoreUnreachable: one node gets no response from the key-value store.
	StoreUnreachable
	StoreSlow
	LeaderStoreUnreachable
	// LeaderFrozen: the leader's process is suspended while its clocks continue.
	LeaderFrozen
	// LeaderIsolated: the leader reaches its agents, but neither the key-value store nor other
	// nodes.
	LeaderIsolated
	// NodesPartitioned: two nodes can't reach each other.
	NodesPartitioned
	// ZonePartitioned: a zone is separated from everything outside it, and some messages are
	// delayed.
	ZonePartitioned
	lastNodeFault = ZonePartitioned
)

// Faults of machines and their agents.
const (
	// MachinePartitioned: a machine has no network; messages may arrive late.
	MachinePartitioned Fault = lastNodeFault + 1 + iota
	// MachineResponsesLost: a machine's heartbeats arrive, responses and commands to it do not.
	MachineResponsesLost
	// MachineHangs: a machine does nothing for a time, and then continues.
	MachineHangs
	// MachineFails: a machine fails or is reclaimed without a notice.
	MachineFails
	// SpotReclaimed: spot machines are reclaimed after a notice.
	SpotReclaimed
	// AgentReplaced: a machine restarts, in part twice. Its new agent has no tasks.
	AgentReplaced
	// MachineHeartbeatsLost: a machine's heartbeats are lost, direct calls to it arrive.
	MachineHeartbeatsLost
	lastMachineFault = MachineHeartbeatsLost
)

// Faults of the cloud, and of the leader with the key-value store.
const (
	// FastBoots: new machines boot within two seconds.
	FastBoots Fault = lastMachineFault + 1 + iota
	// StoreRefusesLeader: the key-value store responds with 503 to the leader alone.
	StoreRefusesLeader
	// OutageAfterCancellation: the key-value store refuses first the leader, and then, after
	// cancellations, all nodes for longer than the cancellation deadline.
	OutageAfterCancellation
	// RepeatedFailovers: the leader crashes ten times in about two minutes.
	RepeatedFailovers
	// FailoversSecondsApart: the leader crashes three times, one to four seconds apart, and its process
	// restarts at once.
	FailoversSecondsApart
	lastServiceFault = FailoversSecondsApart
)

// Faults of messages, and unfavourably timed requests of users.
const (
	// WriteResponsesLost: transactions are executed at once, but their responses are lost.
	WriteResponsesLost Fault = lastServiceFault + 1 + iota
	// WritesDelayed: transactions are executed late, after newer ones.
	WritesDelayed
	// HeartbeatsDuplicated: copies of heartbeats arrive up to several lease durations later.
	HeartbeatsDuplicated
	// HeartbeatsReplayedToNextLeader: copies of heartbeats arrive when the next term starts.
	HeartbeatsReplayedToNextLeader
	// DirectCallsDuplicated: copies of direct calls that were answered arrive later, also after the
	// process that sent them has ended.
	DirectCallsDuplicated
	// TransactionsDuplicated: copies of transactions that were answered arrive later, also after the process
	// that sent them has ended.
	TransactionsDuplicated
	// CloudCallsDuplicated: copies of calls to the cloud that were answered arrive later, also after the
	// process that sent them has ended.
	CloudCallsDuplicated
	// PeerCallsDuplicated: copies of requests of users and operators, which one controller forwards to another,
	// arrive later, also after the process that sent them has ended.
	PeerCallsDuplicated
	// FollowUpQueries: users query all nodes after every response.
	FollowUpQueries
	// RunningJobsCancelled: users cancel several running jobs, some of whose machines hang.
	RunningJobsCancelled
	// CancelledAtCompletion: users cancel jobs just when their last task completes.
	CancelledAtCompletion
	// InvalidRequests: users repeat requests and send invalid ones.
	InvalidRequests
	numberOfFaults = int(InvalidRequests) + 1
)
