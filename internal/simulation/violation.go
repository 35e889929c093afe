package simulation

import "fmt"

// Invariant is a condition that must always hold. The values are the protocol's names where it has
// one, and similar names for conditions that only this project requires.
type Invariant string

// Invariants.
const (
	// RunsOnce: a task executes on at most one machine at a time.
	RunsOnce Invariant = "ran_twice"
	// WithinQuota: a team uses no more than its limit.
	WithinQuota Invariant = "quota"
	// PlacedAsRequired: a task starts only on a machine that its job allows.
	PlacedAsRequired Invariant = "wrong_place"
	// StoppedWhenCancelled: no task executes past the deadline after its cancellation was
	// confirmed.
	StoppedWhenCancelled Invariant = "ran_cancelled"
	// NoStartWhenCancelled: no command starts a task after its cancellation was confirmed.
	NoStartWhenCancelled Invariant = "started_cancelled"
	// AcceptedJobsKept: an accepted job is never lost, and requests about it keep succeeding.
	AcceptedJobsKept Invariant = "forgotten"
	// OnlySubmittedJobs: no request about a job that was not submitted succeeds.
	OnlySubmittedJobs Invariant = "invented"
	// DoneWhenCompleted: a job is reported done only when all its tasks have completed.
	DoneWhenCompleted Invariant = "not_done"
	// TerminalStatesKept: a job that was reported done or cancelled keeps that state, and is
	// reported cancelled only if it, or a dependency, was cancelled.
	TerminalStatesKept Invariant = "went_back"
	// DependenciesFirst: no task starts before all dependencies of its job are done.
	DependenciesFirst Invariant = "too_early"
	// CancelledWithDependency: the cancellation of a job also cancels its dependents in time.
	CancelledWithDependency Invariant = "orphaned"
	// NoStarvation: no job waits for long while it can start.
	NoStarvation Invariant = "left_waiting"
	// StoredCompletionsKept: a stored completion is not taken back.
	StoredCompletionsKept Invariant = "set_back"
	// WithinDrainBudget: drains stay within the disruption budgets.
	WithinDrainBudget Invariant = "budget"
)

// Violation is the error that reports a violated invariant.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string { return string(v.Invariant) + ": " + v.Detail }

// violated returns a violation of an invariant with a formatted detail.
func violated(invariant Invariant, format string, args ...any) error {
	return &Violation{invariant, fmt.Sprintf(format, args...)}
}
