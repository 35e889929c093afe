package peer

import (
	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// Operation is what a call asks the leader to do.
type Operation string

// Operations. OpHeartbeat delivers an agent's heartbeat.
const (
	OpSubmit    Operation = "submit"
	OpQuery     Operation = "query"
	OpCancel    Operation = "cancel"
	OpHeartbeat Operation = "report"
	OpDrain     Operation = "drain"
)

// Call is a request to the leader, from a user, an agent or an operator. A node that is not the
// leader forwards it.
type Call struct {
	ID uint64    `json:"id"`
	Op Operation `json:"op"`
	// JobID is the ID of the job that the call concerns.
	JobID string    `json:"job,omitempty"`
	Spec  *wire.Job `json:"spec,omitempty"`
	// WithDependencies replaces Spec for a job with dependencies. A node of the version without
	// dependencies would ignore them in Spec and start the job early. Without Spec, it rejects the
	// call as incomplete.
	WithDependencies *wire.Job       `json:"chained,omitempty"`
	Heartbeat        *wire.Heartbeat `json:"report,omitempty"`
	// Hops is the number of times that the call was forwarded: at most twice, through one peer and
	// to the leader.
	Hops int `json:"hops,omitempty"`
	// Admission is the admission claim for a submission, made by the node that received it from the
	// user.
	Admission *admission.Claim `json:"admission,omitempty"`
	// Drain is an operator's request about drains of machines.
	Drain *drain.Request `json:"drain,omitempty"`
}

// NewSubmitCall returns the call that submits a job.
func NewSubmitCall(job *wire.Job) Call {
	c := Call{Op: OpSubmit, JobID: job.ID}
	if len(job.DependsOn) > 0 {
		c.WithDependencies = job
	} else {
		c.Spec = job
	}
	return c
}

// Submission returns the job that the call submits, or nil if the call has none.
func (c *Call) Submission() *wire.Job {
	if c.WithDependencies != nil {
		return c.WithDependencies
	}
	return c.Spec
}

// isComplete reports whether the call has the fields that its operation requires. During a rolling
// upgrade, a peer of another version may send a call without these fields.
func (c *Call) isComplete() bool {
	switch c.Op {
	case OpSubmit:
		return c.Submission() != nil
	case OpHeartbeat:
		return c.Heartbeat != nil
	case OpDrain:
		return c.Drain != nil
	}
	return true
}

// Response is the result of a call. Status is an HTTP status. Job, Heartbeat or Drains holds the body,
// depending on the operation; Reason explains an error.
type Response struct {
	ID        uint64                  `json:"id"`
	Status    int                     `json:"status"`
	Job       *wire.JobStatus         `json:"job,omitempty"`
	Heartbeat *wire.HeartbeatResponse `json:"report,omitempty"`
	Reason    string                  `json:"why,omitempty"`
	// RetryAfter is the delay in seconds after which the user should retry; 0 is the default delay.
	RetryAfter int `json:"retryAfter,omitempty"`
	// Drains has the status of each drain that an operator's request is about.
	Drains []drain.Status `json:"drains,omitempty"`
}

// IsTerminal reports whether the response describes an ended job. Such a response remains valid under
// every later leader.
func (r *Response) IsTerminal() bool {
	return r.Status/100 == 2 && r.Job != nil && wire.IsTerminal(r.Job.State)
}

// ErrorResponse returns the response to a failed call.
func ErrorResponse(status int, reason string) Response {
	return Response{Status: status, Reason: reason}
}

// Heartbeat is the periodic message between nodes. It tells a peer whether the sender is the leader or
// has a link to the leader.
type Heartbeat struct {
	Node string `json:"node"`
	// Term is the term of the node's own leadership, even if its lease has expired; 0 if there is
	// none.
	Term uint64 `json:"term,omitempty"`
	// IsLeader means that the node holds the leader's lease.
	IsLeader bool `json:"leads,omitempty"`
	// InGracePeriod means that the node may respond to agents' heartbeats. If IsLeader is not set,
	// it may not execute other calls.
	InGracePeriod bool `json:"grace,omitempty"`
	// LinkedToLeader means that the node has a link to a leader that holds the lease.
	LinkedToLeader bool `json:"hears,omitempty"`
	// Policy is the leader's admission policy, nil in other nodes' heartbeats. OfferedLoad is what the
	// node's users submit. Both are nil if admission control is off.
	Policy      *admission.Policy          `json:"policy,omitempty"`
	OfferedLoad *admission.NodeOfferedLoad `json:"offers,omitempty"`
}

// message is one line of the protocol. Exactly one of its fields is set.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Call      *Call      `json:"call,omitempty"`
	Response  *Response  `json:"answer,omitempty"`
}
