package records

import (
	"encoding/json"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// writeOverheadBytes is the size of a change in a transaction beyond its key and value.
const writeOverheadBytes = 64

// Batch is a group of changes to be committed in one transaction.
type Batch struct {
	Mutations  []wire.Mutation
	writes     []*Write // the changes in Mutations, with their callbacks
	size       int      // bytes
	maxOps     int
	valueLimit int      // bytes of a value
	oversized  []*Write // not sent, as the store would refuse them
}

// fits reports whether a change of the given size fits into the batch.
func (b *Batch) fits(size int) bool {
	return len(b.Mutations) < b.maxOps && (len(b.Mutations) == 0 || b.size+size <= tuning.MaxTransactionBytes)
}

// add adds a change, unless the key-value store would refuse it. All records are built to fit;
// one that does not must not block the others.
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

// writeSize returns the size of a change in a transaction, including its JSON overhead.
func writeSize(key string, value json.RawMessage) int {
	return len(key) + len(value) + writeOverheadBytes
}
