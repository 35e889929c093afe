package kvstore

import "fmt"

// Outcome is the state of a FencedWriter's current changes after a result, and tells the
// caller how to proceed.
type Outcome int

// The outcomes of a result.
const (
	// Applied: all changes are durable, except those that the store refused.
	Applied Outcome = iota
	// Retry: send Txn again after a delay.
	Retry
	// ContinueSplit: send Txn, which now returns the next part, without a delay.
	ContinueSplit
	// OutcomeUnknown: read KeyTerm and pass it to ResolveUnknown.
	OutcomeUnknown
	// Deposed: the changes were not applied and never will be, as the term has ended.
	Deposed
)

// String returns the outcome's name.
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
