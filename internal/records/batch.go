package records

import (
	"encoding/json"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// writeOverheadBytes is the maximum size of the JSON around the key and the value of a change.
const writeOverheadBytes = 64

// Batch is a group of changes to be committed in one transaction.
type Batch struct {
	Mutations  []wire.Mutation // the changes as sent to the key-value store
	writes     []*Write        // the same changes with their callbacks
	size       int             // sum of writeSize, in bytes
	maxOps     int             // maximum number of changes
	valueLimit int             // maximum bytes of a value
	oversized  []*Write        // not sent, because the key-value store would refuse them
}

// fits reports whether the batch has room for a change of the given size. An empty batch has room
// for a change of any size.
func (b *Batch) fits(size int) bool {
	return len(b.Mutations) < b.maxOps && (len(b.Mutations) == 0 || b.size+size <= tuning.MaxTransactionBytes)
}

// add adds a change to the batch, or to oversized if the key-value store would refuse it. All
// records are built to be within the limits; if one is not, it must not block the others.
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

// writeSize returns an upper bound for the size of a change in a transaction, in bytes.
func writeSize(key string, value json.RawMessage) int {
	return len(key) + len(value) + writeOverheadBytes
}
