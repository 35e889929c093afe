package peer

import (
	"switchshore.example/switchshore/internal/admission"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/wire"
)

// Operation is what a call asks for.
type Operation string

// Operations that are forwarded.
const (
	OpSubmit    Operation = "submit"
	OpQuery     Operation = "query"
	OpCancel    Operation = "cancel"
	OpHeartbeat Operation = "report"
	OpDrain     Operation = "drain"
)

// Call is a request on its way to the leader.
type Call struct {
	ID uint64    `json:"id"`
	Op Operation `json:"op"`
	// Job is the ID of the job that the request is about.
	Job  string    `json:"job,omitempty"`
	Spec *wire.Job `json:"spec,omitempty"`
	// WithDependencies is in the place of Spec for a job that depends on others. Versions
	// that don't know such jobs would lose the dependencies and start it early;
	// without Spec the call is incomplete to them, and refused at once.
	WithDependencies *wire.Job       `json:"chained,omitempty"`
	Heartbeat        *wire.Heartbeat `json:"report,omitempty"`
	// Hops counts forwards; a call is relayed once at most.
	Hops int `json:"hops,omitempty"`
	// Admission is what the node that the user has reached says of a submission.
	Admission *admission.Claim `json:"admission,omitempty"`
	// Drain is an operator's request about drains of machines.
	Drain *drain.Request `json:"drain,omitempty"`
}

// NewSubmitCall returns the call for a submission.
func NewSubmitCall(job *wire.Job) Call {
	c := Call{Op: OpSubmit, Job: job.ID}
	if len(job.DependsOn) > 0 {
		c.WithDependencies = job
	} else {
		c.Spec = job
	}
	return c
}

// Submission is the job to be submitted.
func (c *Call) Submission() *wire.Job {
	if c.WithDependencies != nil {
		return c.WithDependencies
	}
	return c.Spec
}

// isComplete reports whether the call carries what its operation needs. A peer
// of another version, in the middle of an upgrade, may send less.
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

// Response is a status with what the caller is told: of a job, of a worker's heartbeat, or
// why the call is refused.
type Response struct {
	ID        uint64                  `json:"id"`
	Status    int                     `json:"status"`
	Job       *wire.JobStatus         `json:"job,omitempty"`
	Heartbeat *wire.HeartbeatResponse `json:"report,omitempty"`
	Reason    string                  `json:"why,omitempty"`
	// RetryAfter is when the user should come back, in seconds; 0 for the usual time.
	RetryAfter int `json:"retryAfter,omitempty"`
	// Drains are those that an operator asked about.
	Drains []drain.Status `json:"drains,omitempty"`
}

// IsTerminal reports whether the answer stays true for good, whoever leads.
func (r *Response) IsTerminal() bool {
	return r.Status/100 == 2 && r.Job != nil && wire.IsTerminal(r.Job.State)
}

// ErrorResponse is a response other than success.
func ErrorResponse(status int, reason string) Response {
	return Response{Status: status, Reason: reason}
}

// Heartbeat says what a node knows of the leader.
type Heartbeat struct {
	Node string `json:"node"`
	// Term is the node's own term if it leads, or may still answer workers' heartbeats.
	Term uint64 `json:"term,omitempty"`
	// IsLeader: the node holds the leader's lease.
	IsLeader bool `json:"leads,omitempty"`
	// InGracePeriod: the node may answer workers' heartbeats, and nothing else unless it IsLeader.
	InGracePeriod bool `json:"grace,omitempty"`
	// ReachesLeader: the node has a direct link to a leader that holds the lease.
	ReachesLeader bool `json:"hears,omitempty"`
	// Policy is the leader's for the admission of jobs, OfferedLoad what the node's users
	// submit; nil where admission control is off.
	Policy      *admission.Policy          `json:"policy,omitempty"`
	OfferedLoad *admission.NodeOfferedLoad `json:"offers,omitempty"`
}

// message is one line: exactly one field is set.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Call      *Call      `json:"call,omitempty"`
	Response  *Response  `json:"answer,omitempty"`
}
