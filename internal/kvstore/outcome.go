package kvstore

import "fmt"

// Outcome tells the caller of a FencedWriter how to proceed after a result.
type Outcome int

// The outcomes, and what the caller does next.
const (
	// Applied: the group is finished. All changes are durable, except those that the store refused.
	Applied Outcome = iota
	// Retry: send NextTxn after a delay.
	Retry
	// SendNextPart: send NextTxn, which returns a part of the split transaction, without a delay.
	SendNextPart
	// OutcomeUnknown: read KeyTerm and pass it to ResolveUnknown.
	OutcomeUnknown
	// Deposed: stop writing, because the term has ended. Changes not yet durable are never applied.
	Deposed
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Retry:
		return "retry"
	case SendNextPart:
		return "send next part"
	case OutcomeUnknown:
		return "unknown"
	case Deposed:
		return "deposed"
	}
	return fmt.Sprintf("outcome %d", int(o))
}
