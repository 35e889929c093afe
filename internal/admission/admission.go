// Package admission decides which new jobs are admitted under overload. The
// leader measures its load (Regulator), divides a budget of new jobs per second among
// teams and their classes by weighted max-min fairness, and publishes the result as a
// Policy. Every node applies the policy to the jobs that it receives (Gate). All nodes
// reach the same decision, which depends on a hash of the job's ID and the policy's
// revision. The leader makes the final decision on jobs that other nodes forward.
//
// The package reads no clock and does no I/O: callers pass times as arguments, and must
// not call the methods of a value concurrently.
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

// OtherClass stands for all classes that the settings don't name. Without it, invented
// class names in submissions could grow the tables without limit.
const OtherClass = ""

// Team has the settings that determine a team's share.
type Team struct {
	Name string
	// GuaranteedCPUs is the number of CPUs that the team's quota guarantees.
	GuaranteedCPUs float64
	// Weight and Floor are set by the operators. Floor is the share of the budget that is
	// reserved for the team; Weight determines the team's part of what is not reserved. 0
	// is the default: a weight of 1, and a floor in proportion to GuaranteedCPUs.
	Weight, Floor float64
	// Classes has the classes for which the operators set a weight or a floor.
	Classes []Class
}

// Class is a class of jobs within a team. Its weight and floor apply to the division of the
// team's budget. A weight of 0 is the default, 1. The floor is at least an equal part of
// AdmissionClassFloorShare.
type Class struct {
	Name          string
	Weight, Floor float64
}

// Settings are the teams and classes of a deployment.
type Settings struct {
	Teams []Team
	// Classes has the names of all known classes.
	Classes []string
	// WritesPerSecond is the leader's limit on writes to the key-value store.
	WritesPerSecond float64
}

// Key returns the key for jobs of a team and class, and whether the settings name the team.
func (s *Settings) Key(team, class string) (Key, bool) {
	known := slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == team })
	if !slices.Contains(s.Classes, class) {
		class = OtherClass
	}
	return Key{team, class}, known
}

// Request is the submission of a job that was perhaps submitted before.
type Request struct {
	ID  string
	Key Key
	// PriorityRank is the job's priority, 0 being the highest.
	PriorityRank int
	Tasks        int
	// Dependent is set if the job depends on other jobs, which must have been accepted
	// already.
	Dependent bool
	// Waited is the time since the node that received the submission first recorded a
	// rejection of the job; 0 if it recorded none.
	Waited time.Duration
}

// agingFactor returns the factor by which the job is likelier to be admitted than a new
// one. The factor grows with the time since the first rejection, up to
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
	// RetryAfterS is the delay after which a rejected user should retry, in seconds.
	RetryAfterS int
}

// Claim is sent with a forwarded submission: it tells the leader what the node that
// received the submission has recorded and decided. Nodes of versions without admission
// control send none.
type Claim struct {
	// WaitedMS is Request.Waited, in milliseconds.
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Revision is the revision of the policy by which the node admitted the job; 0 if it
	// applied no policy.
	Revision uint64 `json:"revision,omitempty"`
}

// Waited returns WaitedMS as a duration.
func (c *Claim) Waited() time.Duration { return time.Duration(c.WaitedMS) * time.Millisecond }
