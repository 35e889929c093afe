package simulation

// Observation is a kind of event that a test may require to have occurred, because a test of a
// fault that did not occur proves nothing.
type Observation string

// Observations of clients.
const (
	// FollowUpQuery: a user queried all nodes right after a response.
	FollowUpQuery Observation = "follow-up query"
	// PollStormQuery: a user polled at an increased rate.
	PollStormQuery Observation = "poll storm query"
	// InvalidRequest: a user repeated a request or sent an invalid one.
	InvalidRequest Observation = "invalid request"
	// CancelledAtLastTask: a job was cancelled as its last task completed.
	CancelledAtLastTask Observation = "cancelled at the last task"
	// CancelledWhileRunning: a job with running tasks was cancelled.
	CancelledWhileRunning Observation = "cancelled while running"
	// CancellationConfirmed: a user was told that a job is cancelled.
	CancellationConfirmed Observation = "cancellation confirmed"
	// ShedByFollower: a follower rejected a submission under overload.
	ShedByFollower Observation = "shed by a follower"
	// ShedByLeader: the leader rejected a submission under overload.
	ShedByLeader Observation = "shed by the leader"
)

// Observations of agents and their heartbeats.
const (
	// StaleHeartbeatIgnored: a leader recognised and ignored a late copy of a heartbeat.
	StaleHeartbeatIgnored Observation = "stale heartbeat ignored"
	// DuplicateHeartbeatApplied: a leader applied a late copy because it had not received the
	// heartbeat before.
	DuplicateHeartbeatApplied Observation = "duplicate heartbeat applied"
	// HeartbeatInGracePeriod: a leader whose lease had expired responded to a heartbeat.
	HeartbeatInGracePeriod Observation = "heartbeat in the grace period"
	// DirectCallRepeated: a copy of an answered direct call reached its agent.
	DirectCallRepeated Observation = "direct call repeated"
	// DirectCallToNewAgent: a direct call reached an agent that has replaced the one that it was sent to.
	DirectCallToNewAgent Observation = "direct call to a new agent"
	// HeartbeatLost: an agent's heartbeat reached no controller.
	HeartbeatLost Observation = "heartbeat lost"
	// BusyMachinePartitioned: a machine with tasks was partitioned.
	BusyMachinePartitioned Observation = "busy machine partitioned"
	// BusyMachineResponsesLost: a machine with tasks began to get no responses.
	BusyMachineResponsesLost Observation = "busy machine without responses"
)

// Observations of controllers and their writes.
const (
	// WriteResponseLost: a transaction was executed, but its response was lost.
	WriteResponseLost Observation = "write response lost"
	// DelayedTransaction: a transaction was executed late.
	DelayedTransaction Observation = "delayed transaction"
	// TransactionRepeated: a copy of an answered transaction, or of the renewal of a lease, reached the
	// key-value store.
	TransactionRepeated Observation = "transaction repeated"
	// CloudCallRepeated: a copy of an answered call to the cloud reached it.
	CloudCallRepeated Observation = "cloud call repeated"
	// PeerCallRepeated: a copy of a request of a user or an operator reached the leader.
	PeerCallRepeated Observation = "peer call repeated"
	// TermStarted counts the terms.
	TermStarted Observation = "term started"
	// SecondTerm counts the terms from the second on, FifthTerm those from the fifth on.
	SecondTerm Observation = "second term"
	FifthTerm  Observation = "fifth term"
)

// Observations of drains.
const (
	// DrainCharge: a charge for evictions was stored.
	DrainCharge Observation = "drain charge"
	// DrainEviction: an agent stopped a running task of a drained machine.
	DrainEviction Observation = "drain eviction"
	// DrainCheckpoint: a task that an agent stopped on a drained machine saved its progress.
	DrainCheckpoint Observation = "drain checkpoint"
	// DrainPaused: a drain was paused.
	DrainPaused Observation = "drain paused"
)
