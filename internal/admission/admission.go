// Package admission decides which new jobs are taken while more are submitted
// than can be carried. The leader measures the load, divides what can be taken
// among teams and their classes by weighted max-min fairness, and publishes the
// result as a policy; every node applies the policy to a job in the same way, by a
// hash of the job's id and the policy's revision. The leader has the last word.
//
// The package reads no clock and does no I/O: times are passed in, and callers
// serialise access.
package admission

import (
	"slices"
	"time"

	"switchshore.example/switchshore/internal/tuning"
)

// Key names what has a share of its own: a class of jobs of a team.
type Key struct {
	Team  string `json:"team"`
	Class string `json:"class"`
}

// OtherClass stands for all classes that the settings don't name: names that come
// from outside must not fill tables.
const OtherClass = ""

// Team is a team as far as its share is concerned.
type Team struct {
	Name string
	// GuaranteedCPUs is the CPUs that the team is guaranteed.
	GuaranteedCPUs float64
	// Weight and Floor are the operators', 0 for the defaults: 1, and the team's part
	// of all guarantees.
	Weight, Floor float64
	// Classes are the operators' weights and floors of single classes.
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
	// WritesPerSecond is what the state service takes at most, in changes a second.
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
	// Dependent: the job needs others, which were accepted before.
	Dependent bool
	// Waited is the time since the job was first refused, as far as the node that
	// its user has reached knows.
	Waited time.Duration
}

// agingFactor is how many times as likely as one that has just come the job is admitted: it
// grows with the time since the first refusal. A job that needs accepted ones counts
// as having waited for long already.
func (r *Request) agingFactor() float64 {
	waited := r.Waited
	if r.Dependent {
		waited = max(waited, tuning.AdmissionDependentAge)
	}
	waited = min(max(waited, 0), tuning.AdmissionRetryWindow)
	return 1 + waited.Seconds()/tuning.AdmissionAgingUnit.Seconds()
}

// Decision is what becomes of a request.
type Decision struct {
	Admitted bool
	// RetryAfterS is when a user who is refused should come back, in seconds.
	RetryAfterS int
}

// Claim is what the node that a user has reached tells the leader of a submission.
// Nodes of versions without admission send none.
type Claim struct {
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Revision is that of the policy which has admitted the job, 0 if none was known.
	Revision uint64 `json:"revision,omitempty"`
}

// Waited is the time since the job was first refused.
func (c *Claim) Waited() time.Duration { return time.Duration(c.WaitedMS) * time.Millisecond }
