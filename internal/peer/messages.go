package peer

import (
	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// Operation is the kind of a call.
type Operation string

// The operations.
const (
	OpSubmit    Operation = "submit"
	OpQuery     Operation = "query"
	OpCancel    Operation = "cancel"
	OpHeartbeat Operation = "report"
	OpDrain     Operation = "drain"
)

// Call is a request that nodes forward to the leader.
type Call struct {
	ID uint64    `json:"id"`
	Op Operation `json:"op"`
	// Job is the ID of the job that the call concerns.
	Job  string    `json:"job,omitempty"`
	Spec *wire.Job `json:"spec,omitempty"`
	// WithDependencies replaces Spec for a job that depends on others. A node whose version
	// does not support dependencies would ignore them and start the job early. Without Spec
	// it treats the call as incomplete and rejects it.
	WithDependencies *wire.Job       `json:"chained,omitempty"`
	Heartbeat        *wire.Heartbeat `json:"report,omitempty"`
	// Hops is the number of times that the call was forwarded. A call is relayed at most once.
	Hops int `json:"hops,omitempty"`
	// Admission is the admission claim of a submission, by the node that received it from the
	// user.
	Admission *admission.Claim `json:"admission,omitempty"`
	// Drain is an operator's request concerning drains of machines.
	Drain *drain.Request `json:"drain,omitempty"`
}

// NewSubmitCall returns the call that submits a job.
func NewSubmitCall(job *wire.Job) Call {
	c := Call{Op: OpSubmit, Job: job.ID}
	if len(job.DependsOn) > 0 {
		c.WithDependencies = job
	} else {
		c.Spec = job
	}
	return c
}

// Submission returns the job to submit, or nil if the call has none.
func (c *Call) Submission() *wire.Job {
	if c.WithDependencies != nil {
		return c.WithDependencies
	}
	return c.Spec
}

// isComplete reports whether the call has the fields that its operation requires. During a
// rolling upgrade, a peer of another version may send a call without them.
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

// Response is the result of a call: an HTTP status, with a body that depends on the operation, or
// with the reason of an error.
type Response struct {
	ID        uint64                  `json:"id"`
	Status    int                     `json:"status"`
	Job       *wire.JobStatus         `json:"job,omitempty"`
	Heartbeat *wire.HeartbeatResponse `json:"report,omitempty"`
	Reason    string                  `json:"why,omitempty"`
	// RetryAfter is the delay in seconds after which the user should retry; 0 stands for the
	// default.
	RetryAfter int `json:"retryAfter,omitempty"`
	// Drains is the status of the drains that an operator's request concerns.
	Drains []drain.Status `json:"drains,omitempty"`
}

// IsTerminal reports whether the response remains valid under every later leader, because the job
// has ended.
func (r *Response) IsTerminal() bool {
	return r.Status/100 == 2 && r.Job != nil && wire.IsTerminal(r.Job.State)
}

// ErrorResponse returns a response for a call that did not succeed.
func ErrorResponse(status int, reason string) Response {
	return Response{Status: status, Reason: reason}
}

// Heartbeat is the periodic message between nodes. It tells a peer whether the sender leads and
// whether it can reach the leader.
type Heartbeat struct {
	Node string `json:"node"`
	// Term is the node's own term if it leads or may still respond to workers' heartbeats.
	Term uint64 `json:"term,omitempty"`
	// IsLeader: the node holds the leader's lease.
	IsLeader bool `json:"leads,omitempty"`
	// InGracePeriod: the node may respond to workers' heartbeats. Without IsLeader it may respond
	// to nothing else.
	InGracePeriod bool `json:"grace,omitempty"`
	// ReachesLeader: the node has a direct link to a leader that holds the lease.
	ReachesLeader bool `json:"hears,omitempty"`
	// Policy is the leader's admission policy, and OfferedLoad is the load that the node's users
	// submit. Both are nil if admission control is off.
	Policy      *admission.Policy          `json:"policy,omitempty"`
	OfferedLoad *admission.NodeOfferedLoad `json:"offers,omitempty"`
}

// message is one line of the protocol. Exactly one field is set.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Call      *Call      `json:"call,omitempty"`
	Response  *Response  `json:"answer,omitempty"`
}
