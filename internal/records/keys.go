// Package records defines the durable state of the leader: the keys, the encoding and the
// loading order of all its records in the key-value store, and the queues through which changes
// are committed. No other package uses stored keys.
//
// Stored bytes are an interface between versions of the program: during a rolling upgrade,
// leaders of the previous and of this version alternate, and each must read what the other has
// written.
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
	KindCompletions  Kind = "d" // completed tasks of one chunk of a job
	KindFinalState   Kind = "f" // how a job ended
	// KindMachineStarts is one record per machine, as written by earlier versions.
	KindMachineStarts Kind = "m"
	KindStarts        Kind = "s" // starts of one scheduling pass
	// Earlier versions ignore records of the following kinds.
	KindDrain  Kind = "e"
	KindCharge Kind = "b" // evictions charged to a drain
)

// MachineTypesKey is the key of the cloud's machine types.
const MachineTypesKey = "c/types"

// LoadOrder lists the prefixes of the stored records in the order in which they must be loaded:
// pieces of jobs, the jobs, their completions, the final states, then the starts, oldest first.
// The machine types come first: a successor that waited for the cloud's response would reject
// submissions.
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

// Optional reports whether the service can start without a corrupt record of the kind: the
// cloud reports the machine types again, tasks without a completion run again, a piece may
// belong to no job, and drains can wait.
func (k Kind) Optional() bool {
	switch k {
	case KindMachineTypes, KindCompletions, KindJobPiece, KindDrain, KindCharge:
		return true
	}
	return false
}

// ParseKey splits a key into the kind of its record and the rest. ok is false if the key has no
// kind and so is no record of the leader.
func ParseKey(key string) (kind Kind, id string, ok bool) {
	prefix, id, ok := strings.Cut(key, "/")
	return Kind(prefix), id, ok
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return KindJob.Prefix() + id }

// FinalStateKey returns the key of a job's final state.
func FinalStateKey(id string) string { return KindFinalState.Prefix() + id }

// JobPieceKey returns the key of a part of a job record that is too large for one value. The
// term distinguishes it from the parts of an earlier attempt to store the same job.
func JobPieceKey(id string, term uint64, number int) string {
	return fmt.Sprintf("%s%s/%d-%d", KindJobPiece.Prefix(), id, term, number)
}

// StartsKey returns the key of a start record. Keys sort in the order in which the records were
// written.
func StartsKey(term, number uint64) string { return sortableKey(KindStarts, term, number) }

// DrainKey returns the key of a drain's record.
func DrainKey(name string) string { return KindDrain.Prefix() + name }

// ChargeKey returns the key of a charge. Keys sort in the order of the charges.
func ChargeKey(term, number uint64) string { return sortableKey(KindCharge, term, number) }

// sortableKey returns a key that sorts by term and number.
func sortableKey(k Kind, term, number uint64) string {
	return fmt.Sprintf("%s/%08x-%08x", k, term, number)
}
