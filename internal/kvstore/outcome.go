package kvstore

import "fmt"

// Outcome is what a result means for the changes that a FencedWriter has begun.
type Outcome int

// Outcomes.
const (
	// Applied: all changes that the store takes are durable.
	Applied Outcome = iota
	// Retry: send Txn once more, after a delay.
	Retry
	// ContinueSplit: send Txn, which goes on with the next part, at once.
	ContinueSplit
	// OutcomeUnknown: read KeyTerm, then ask ResolveUnknown.
	OutcomeUnknown
	// Deposed: not applied now, and never will be.
	Deposed
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Retry:
		return "retry"
	case ContinueSplit:
		return "continue split"
	case OutcomeUnknown:
		return "unknown"
	case Deposed:
		return "deposed"
	}
	return fmt.Sprintf("outcome %d", int(o))
}
