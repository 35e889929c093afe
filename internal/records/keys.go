// Package records defines the durable state of the leader: the names, the encoding and the
// loading order of everything that it stores in the key-value store, and the queues through
// which changes to it are committed. No other package knows stored names.
//
// Stored bytes are an interface between versions of the program: leaders of the previous
// and of this version take turns during a rolling upgrade, and each must read what the other
// has written.
package records

import (
	"fmt"
	"strings"
)

// Kind is the kind of a stored record: the part of its key before the first slash.
type Kind string

// Kinds of record.
const (
	KindMachineTypes Kind = "c" // the cloud's machine types
	KindJobPiece     Kind = "n" // a part of a job record that exceeds one value
	KindJob          Kind = "j"
	KindCompletions  Kind = "d" // completed tasks of a part of a job
	KindFinalState   Kind = "f" // how a job ended
	// KindMachineStarts is one record per machine, as earlier versions kept them.
	KindMachineStarts Kind = "m"
	KindStarts        Kind = "s" // starts that were decided together
	// Earlier versions know neither of the following, and leave them alone.
	KindDrain  Kind = "e"
	KindCharge Kind = "b" // evictions that a drain has been charged for
)

// MachineTypesKey is the key of the cloud's machine types.
const MachineTypesKey = "c/types"

// LoadOrder holds the prefixes of the stored records in the order in which they must be
// loaded: pieces of jobs, the jobs, their completions, the final states, then the starts,
// oldest first. The machine types come first: a successor that waited for the cloud's answer
// would reject submissions.
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

// Prefix is what the keys of all records of the kind begin with.
func (k Kind) Prefix() string { return string(k) + "/" }

// Optional reports whether the service can start without a record of the kind that is
// corrupt: the cloud reports the machine types again, tasks without a completion run again, a
// piece may belong to no job, and drains can wait.
func (k Kind) Optional() bool {
	switch k {
	case KindMachineTypes, KindCompletions, KindJobPiece, KindDrain, KindCharge:
		return true
	}
	return false
}

// ParseKey splits a key into the kind of its record and the rest; ok is false if the key
// is none of the leader's.
func ParseKey(key string) (kind Kind, id string, ok bool) {
	prefix, id, ok := strings.Cut(key, "/")
	return Kind(prefix), id, ok
}

// JobKey is the key of a job's record.
func JobKey(id string) string { return KindJob.Prefix() + id }

// FinalStateKey is the key of a job's final state.
func FinalStateKey(id string) string { return KindFinalState.Prefix() + id }

// JobPieceKey names a part of a job record that was too large for one value. The term keeps
// it from being taken for one of an earlier attempt to store the same job.
func JobPieceKey(id string, term uint64, number int) string {
	return fmt.Sprintf("%s%s/%d-%d", KindJobPiece.Prefix(), id, term, number)
}

// StartsKey names a start record. Keys sort in the order in which the records were written.
func StartsKey(term, number uint64) string { return sortableKey(KindStarts, term, number) }

// DrainKey is the key of a drain's record.
func DrainKey(name string) string { return KindDrain.Prefix() + name }

// ChargeKey names the record of a charge. Keys sort in the order of the charges.
func ChargeKey(term, number uint64) string { return sortableKey(KindCharge, term, number) }

// sortableKey is a key that sorts by term and number.
func sortableKey(k Kind, term, number uint64) string {
	return fmt.Sprintf("%s/%08x-%08x", k, term, number)
}
