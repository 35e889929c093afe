// Package admission decides which new jobs are admitted under overload. The
// leader measures the load (Regulator), divides a budget of new jobs among teams
// and their classes by weighted max-min fairness, and publishes the result as a
// Policy. Every node applies the policy to a job in the same way (Gate), by a hash
// of the job's ID and the policy's revision. The leader decides finally.
//
// The package reads no clock and does no I/O: times are passed in, and callers
// serialise access.
package admission

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Key identifies what has a share of its own: a class of jobs of a team.
type Key struct {
	Team  string `json:"team"`
	Class string `json:"class"`
}

// OtherClass stands for all classes that the settings don't name, so that names
// from outside can't fill tables.
const OtherClass = ""

// Team is what determines a team's share.
type Team struct {
	Name string
	// GuaranteedCPUs is the team's guaranteed quota.
	GuaranteedCPUs float64
	// Weight and Floor are set by the operators; 0 is the default: weight 1, and the
	// team's part of all guarantees.
	Weight, Floor float64
	// Classes has the weights and floors that the operators set for single classes.
	Classes []Class
}

// Class is a class of jobs within a team.
type Class struct {
	Name          string
	Weight, Floor float64
}

// Settings are the teams and classes of a deployment.
type Settings struct {
	Teams []Team
	// Classes are the names of all classes known.
	Classes []string
	// WritesPerSecond is the largest write rate of the key-value store.
	WritesPerSecond float64
}

// Key returns the key that a job of a team and class counts under, and whether the
// team is known.
func (s *Settings) Key(team, class string) (Key, bool) {
	known := slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == team })
	if !slices.Contains(s.Classes, class) {
		class = OtherClass
	}
	return Key{team, class}, known
}

// Request is a submission of a job that may be new.
type Request struct {
	ID  string
	Key Key
	// PriorityRank is the job's priority, 0 being the highest.
	PriorityRank int
	Tasks        int
	// Dependent: the job depends on others, which were accepted before.
	Dependent bool
	// Waited is the time since the job was first rejected, as far as the node that
	// has received it knows.
	Waited time.Duration
}

// agingFactor is how many times as likely to be admitted as a new job it is: it
// grows with the time since the first rejection. A job that depends on accepted
// ones counts as having waited already.
func (r *Request) agingFactor() float64 {
	waited := r.Waited
	if r.Dependent {
		waited = max(waited, tuning.AdmissionDependentWait)
	}
	waited = min(max(waited, 0), tuning.AdmissionRetryWindow)
	return 1 + waited.Seconds()/tuning.AdmissionAgingUnit.Seconds()
}

// Decision is the outcome of a request.
type Decision struct {
	Admitted bool
	// RetryAfterS is when a rejected user should retry, in seconds.
	RetryAfterS int
}

// Claim is what the node that has received a submission reports to the leader.
// Nodes of versions without admission send none.
type Claim struct {
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Revision is that of the policy that has admitted the job, 0 if none was known.
	Revision uint64 `json:"revision,omitempty"`
}

// Waited is the time since the job was first rejected.
func (c *Claim) Waited() time.Duration { return time.Duration(c.WaitedMS) * time.Millisecond }
