// Package records defines how the leader stores its state in the key-value store: the keys, the
// encoding and the loading order of all records, and the queues of changes to be committed. No
// other package defines keys of the leader's records.
//
// The stored bytes are an interface between versions of the program: during a rolling upgrade,
// leaders of the previous and of this version may alternate, and each must be able to read the
// records of the other.
package records

import (
	"fmt"
	"strings"
)

// Kind is the kind of a stored record: the part of its key before the first slash.
type Kind string

// Kinds of records.
const (
	KindMachineTypes Kind = "c" // the cloud's machine types
	KindJobPiece     Kind = "n" // a part of a job that is too large for one value
	KindJob          Kind = "j" // a submitted job
	KindCompletions  Kind = "d" // the completed tasks in one chunk of a job
	KindFinalState   Kind = "f" // how a job ended
	// KindMachineStarts: the starts on one machine. Only earlier versions write these records.
	KindMachineStarts Kind = "m"
	KindStarts        Kind = "s" // the starts of a scheduling pass
	// Earlier versions ignore records of the following two kinds.
	KindDrain  Kind = "e" // a drain with its state
	KindCharge Kind = "b" // evictions charged to a drain
)

// MachineTypesKey is the key of the cloud's machine types.
const MachineTypesKey = "c/types"

// LoadOrder lists the key prefixes of all records in the order in which a new leader must load them:
// pieces of jobs before the jobs, then what refers to the jobs: completions, final states and starts,
// oldest first. The machine types come first: a leader that waited for the cloud's response instead
// would reject submissions until then.
var LoadOrder = []string{
	MachineTypesKey,
	KindJobPiece.Prefix(),
	KindJob.Prefix(),
	KindCompletions.Prefix(),
	KindFinalState.Prefix(),
	KindMachineStarts.Prefix(),
	KindStarts.Prefix(),
	KindDrain.Prefix(),
	KindCharge.Prefix(),
}

// Prefix returns the prefix of the keys of all records of the kind.
func (k Kind) Prefix() string { return string(k) + "/" }

// IsOptional reports whether a leader can skip a corrupt record of the kind: the cloud reports the
// machine types again, tasks without a completion run again, a piece may belong to no job, and drains
// can wait.
func (k Kind) IsOptional() bool {
	switch k {
	case KindMachineTypes, KindCompletions, KindJobPiece, KindDrain, KindCharge:
		return true
	}
	return false
}

// ParseKey splits a key into the kind of its record and the rest, the record's id. ok is false if
// the key contains no slash, and so belongs to no record of the leader.
func ParseKey(key string) (kind Kind, id string, ok bool) {
	prefix, id, ok := strings.Cut(key, "/")
	return Kind(prefix), id, ok
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return KindJob.Prefix() + id }

// FinalStateKey returns the key of a job's final state.
func FinalStateKey(id string) string { return KindFinalState.Prefix() + id }

// JobPieceKey returns the key of a piece of a job. The term distinguishes the piece from those that
// remain of an earlier attempt to store the same job.
func JobPieceKey(id string, term uint64, number int) string {
	return fmt.Sprintf("%s%s/%d-%d", KindJobPiece.Prefix(), id, term, number)
}

// StartsKey returns the key of a start record. These keys sort in the order in which the records
// were created.
func StartsKey(term, number uint64) string { return sortableKey(KindStarts, term, number) }

// DrainKey returns the key of a drain's record.
func DrainKey(name string) string { return KindDrain.Prefix() + name }

// ChargeKey returns the key of a charge. These keys sort in the order of the charges.
func ChargeKey(term, number uint64) string { return sortableKey(KindCharge, term, number) }

// sortableKey returns a key in hexadecimal digits of fixed width, so that keys sort by term and
// number.
func sortableKey(k Kind, term, number uint64) string {
	return fmt.Sprintf("%s/%08x-%08x", k, term, number)
}
