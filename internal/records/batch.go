package records

import (
	"encoding/json"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// writeOverheadBytes is what a change takes of a transaction beside its key and value.
const writeOverheadBytes = 64

// Batch is a group of changes to be committed in one transaction.
type Batch struct {
	Mutations  []wire.Mutation
	writes     []*Write // the same, with what follows them
	size       int      // bytes
	maxOps     int
	valueLimit int      // bytes of a value
	oversized  []*Write // would be refused, and are not sent
}

// fits reports whether a change of the given size still goes in.
func (b *Batch) fits(size int) bool {
	return len(b.Mutations) < b.maxOps && (len(b.Mutations) == 0 || b.size+size <= tuning.MaxTransactionBytes)
}

// add puts a change in, unless the key-value store would refuse it. All records
// are made to fit; one that doesn't must not block the others.
func (b *Batch) add(w *Write) {
	if len(w.Key) > wire.MaxKeyBytes || len(w.Value) > b.valueLimit {
		b.oversized = append(b.oversized, w)
		return
	}
	if w.Value == nil {
		b.Mutations = append(b.Mutations, wire.Mutation{Delete: w.Key})
	} else {
		b.Mutations = append(b.Mutations, wire.Mutation{Put: w.Key, Value: w.Value})
	}
	b.size += writeSize(w.Key, w.Value)
	b.writes = append(b.writes, w)
}

// writeSize is what a change takes of a transaction, its JSON frame included.
func writeSize(key string, value json.RawMessage) int {
	return len(key) + len(value) + writeOverheadBytes
}
