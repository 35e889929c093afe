package simulation

// Observation is something that a test may ask to have happened: one of a fault that did
// not come about would show nothing.
type Observation string

// Observations.
const (
	// FollowUpQuery: users asked at all nodes right after an answer.
	FollowUpQuery Observation = "follow-up query"
	// StaleHeartbeatIgnored: a late copy of a report was recognised as such.
	StaleHeartbeatIgnored Observation = "stale copy"
	// DuplicateHeartbeatApplied: a late copy of a report was the first that a leader heard.
	DuplicateHeartbeatApplied Observation = "copy applied"
	// HeartbeatInGracePeriod: a leader without authority answered a report.
	HeartbeatInGracePeriod Observation = "answered in grace"
	// HeartbeatLost: a worker reached no controller.
	HeartbeatLost Observation = "report lost"
	// BusyMachinePartitioned: a machine with tasks was cut off.
	BusyMachinePartitioned Observation = "holder partitioned"
	// BusyMachineResponsesLost: a machine with tasks was heard, but not answered.
	BusyMachineResponsesLost Observation = "holder without answers"
	// PollStormQuery: a user asked far more often than usual.
	PollStormQuery Observation = "storm poll"
	// InvalidRequest: a user repeated a request, or sent a senseless or impossible one.
	InvalidRequest Observation = "invalid request"
	// CancelledAtLastTask: a job was cancelled as its last task ended.
	CancelledAtLastTask Observation = "cancelled at its end"
	// CancelledWhileRunning: a job with running tasks was cancelled.
	CancelledWhileRunning Observation = "cancelled while running"
	// WriteResponseLost: a transaction was carried out, and its answer was lost.
	WriteResponseLost Observation = "answer to a write lost"
	// DelayedTransaction: a transaction was carried out after newer ones.
	DelayedTransaction Observation = "late transaction"
	// TermStarted counts the terms; SecondTerm and FifthTerm those from the second and fifth on.
	TermStarted Observation = "term"
	SecondTerm  Observation = "second term"
	FifthTerm   Observation = "fifth term"
	// ShedByFollower and ShedByLeader: a submission was turned away under overload.
	ShedByFollower Observation = "shed by a follower"
	ShedByLeader   Observation = "shed by the leader"
	// DrainCharge: a charge for evictions was stored; DrainEviction: a worker stopped a task of a
	// drained machine; DrainCheckpoint: one that saved its progress; DrainPaused: a drain stood still.
	DrainCharge     Observation = "charge of a drain"
	DrainEviction   Observation = "eviction by a drain"
	DrainCheckpoint Observation = "move by a drain"
	DrainPaused     Observation = "drain paused"
	// CancellationConfirmed: a user was told that a job is cancelled.
	CancellationConfirmed Observation = "cancellation confirmed"
)
