// Package admission decides which new jobs are admitted under overload. The
// leader measures the load (Regulator), divides a budget of new jobs among teams
// and their classes by weighted max-min fairness, and publishes the result as a
// Policy. Every node applies the policy to a job in the same way (Gate), by a hash
// of the job's ID and the policy's revision. The leader makes the final decision.
//
// The package reads no clock and does no I/O: callers pass times in and serialise
// access.
package admission

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Key identifies a class of jobs of a team, the unit that gets a share of the budget.
type Key struct {
	Team  string `json:"team"`
	Class string `json:"class"`
}

// OtherClass stands for all classes that the settings don't name, so that class
// names in submissions can't grow the tables without limit.
const OtherClass = ""

// Team has the settings that determine a team's share.
type Team struct {
	Name string
	// GuaranteedCPUs is the team's guaranteed quota.
	GuaranteedCPUs float64
	// Weight and Floor are set by the operators. 0 is the default: a weight of 1, and
	// a floor in proportion to GuaranteedCPUs.
	Weight, Floor float64
	// Classes has the weights and floors that the operators set for individual classes.
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
	// Classes are the names of all known classes.
	Classes []string
	// WritesPerSecond is the largest write rate of the key-value store.
	WritesPerSecond float64
}

// Key returns the key of jobs of a team and class, and whether the team is known.
func (s *Settings) Key(team, class string) (Key, bool) {
	known := slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == team })
	if !slices.Contains(s.Classes, class) {
		class = OtherClass
	}
	return Key{team, class}, known
}

// Request is the submission of a job that may be new.
type Request struct {
	ID  string
	Key Key
	// PriorityRank is the job's priority, 0 being the highest.
	PriorityRank int
	Tasks        int
	// Dependent is set if the job depends on other jobs, which were accepted before.
	Dependent bool
	// Waited is the time since the first rejection of the job that the receiving node
	// knows of.
	Waited time.Duration
}

// agingFactor returns how many times as likely as a new job this one is to be
// admitted. It grows with the time since the first rejection, up to
// AdmissionRetryWindow. Dependent jobs count as having waited for at least
// AdmissionDependentWait.
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

// Claim is the report of the node that received a submission to the leader. Nodes
// of versions without admission control send none.
type Claim struct {
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Revision is that of the policy that admitted the job, 0 if the node had none.
	Revision uint64 `json:"revision,omitempty"`
}

// Waited returns the time since the job was first rejected.
func (c *Claim) Waited() time.Duration { return time.Duration(c.WaitedMS) * time.Millisecond }
