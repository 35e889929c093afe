package simulation

import "fmt"

// Invariant names something that must always hold. The values are the protocol's names, and for
// what only this project requires, names alike.
type Invariant string

// Invariants.
const (
	// RunsOnce: a task is on one machine at a time.
	RunsOnce Invariant = "ran_twice"
	// WithinQuota: a team uses no more than its limit.
	WithinQuota Invariant = "quota"
	// PlacedAsRequired: a task starts where its job allows.
	PlacedAsRequired Invariant = "wrong_place"
	// StoppedWhenCancelled: no task is on a machine for long after the cancellation was confirmed.
	StoppedWhenCancelled Invariant = "ran_cancelled"
	// NoStartWhenCancelled: no start is commanded after the cancellation was confirmed.
	NoStartWhenCancelled Invariant = "started_cancelled"
	// AcceptedJobsKept: an accepted job stays known, and requests about it are answered.
	AcceptedJobsKept Invariant = "forgotten"
	// OnlySubmittedJobs: no job is known that nobody submitted.
	OnlySubmittedJobs Invariant = "invented"
	// DoneWhenCompleted: a job is reported done only when all its tasks have completed.
	DoneWhenCompleted Invariant = "not_done"
	// TerminalStatesKept: a job that was reported done or cancelled stays so.
	TerminalStatesKept Invariant = "went_back"
	// DependenciesFirst: no task starts before the jobs that its job depends on are done.
	DependenciesFirst Invariant = "too_early"
	// CancelledWithDependency: a job is cancelled with one that it depends on.
	CancelledWithDependency Invariant = "orphaned"
	// NoStarvation: no job waits for long while it could start.
	NoStarvation Invariant = "left_waiting"
	// WithinDrainBudget: drains keep to the disruption budgets.
	WithinDrainBudget Invariant = "budget"
)

// Violation is the error of an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string { return string(v.Invariant) + ": " + v.Detail }

// violated returns a violation with a formatted detail.
func violated(invariant Invariant, format string, args ...any) error {
	return &Violation{invariant, fmt.Sprintf(format, args...)}
}
