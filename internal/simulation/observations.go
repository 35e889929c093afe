package simulation

// Observation is something that a test may ask to have happened: one of a fault that did
// not come about would show nothing.
type Observation string

// Observations.
const (
	// FollowUpQuery: users asked at all nodes right after an answer.
	FollowUpQuery Observation = "follow-up query"
	// StaleCopy: a late copy of a report was recognised as such.
	StaleCopy Observation = "stale copy"
	// CopyApplied: a late copy of a report was the first that a leader heard.
	CopyApplied Observation = "copy applied"
	// AnsweredInGrace: a leader without authority answered a report.
	AnsweredInGrace Observation = "answered in grace"
	// ReportLost: a worker reached no controller.
	ReportLost Observation = "report lost"
	// HolderPartitioned: a machine with tasks was cut off.
	HolderPartitioned Observation = "holder partitioned"
	// HolderAnswersLost: a machine with tasks was heard, but not answered.
	HolderAnswersLost Observation = "holder without answers"
	// StormPoll: a user asked far more often than usual.
	StormPoll Observation = "storm poll"
	// InvalidRequest: a user repeated a request, or sent a senseless or impossible one.
	InvalidRequest Observation = "invalid request"
	// CancelledAtEnd: a job was cancelled as its last task ended.
	CancelledAtEnd Observation = "cancelled at its end"
	// CancelledWhileRunning: a job with running tasks was cancelled.
	CancelledWhileRunning Observation = "cancelled while running"
	// WriteAnswerLost: a transaction was carried out, and its answer was lost.
	WriteAnswerLost Observation = "answer to a write lost"
	// LateTransaction: a transaction was carried out after newer ones.
	LateTransaction Observation = "late transaction"
	// TermBegan counts the terms; SecondTerm and FifthTerm those from the second and fifth on.
	TermBegan  Observation = "term"
	SecondTerm Observation = "second term"
	FifthTerm  Observation = "fifth term"
	// ShedByFollower and ShedByLeader: a submission was turned away under overload.
	ShedByFollower Observation = "shed by a follower"
	ShedByLeader   Observation = "shed by the leader"
	// DrainCharge: a charge for evictions was stored; DrainEviction: a worker stopped a task of a
	// drained machine; DrainMove: one that saved its progress; DrainPaused: a drain stood still.
	DrainCharge   Observation = "charge of a drain"
	DrainEviction Observation = "eviction by a drain"
	DrainMove     Observation = "move by a drain"
	DrainPaused   Observation = "drain paused"
	// CancellationConfirmed: a user was told that a job is cancelled.
	CancellationConfirmed Observation = "cancellation confirmed"
)
