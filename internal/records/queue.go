package records

import (
	"encoding/json"
)

// Write is a queued change of one key.
type Write struct {
	Key      string
	Value    json.RawMessage // nil to delete the key
	OnCommit []func()
	// OnRefused, if set, is called if the key-value store refuses the change permanently.
	OnRefused func()
}

// Queue holds changes in order. A new value of a key replaces a queued one in its place.
type Queue struct {
	writes   []*Write
	byKey    map[string]*Write
	head     int
	dequeued int64
}

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.writes) - q.head }

// Dequeued returns the number of changes moved into batches so far.
func (q *Queue) Dequeued() int64 { return q.dequeued }

// Put queues a new value of a key and calls onCommit, if set, when it or a later value is
// durable.
func (q *Queue) Put(key string, value json.RawMessage, onCommit func()) {
	if q.byKey == nil {
		q.byKey = map[string]*Write{}
	}
	w := q.byKey[key]
	if w == nil {
		w = &Write{Key: key}
		q.byKey[key] = w
		q.writes = append(q.writes, w)
	}
	w.Value = value
	if onCommit != nil {
		w.OnCommit = append(w.OnCommit, onCommit)
	}
}

// Delete queues the deletion of a key.
func (q *Queue) Delete(key string) { q.Put(key, nil, nil) }

// moveTo moves at most limit changes from the queue into the batch.
func (q *Queue) moveTo(b *Batch, limit int) {
	for ; limit > 0 && q.head < len(q.writes); limit-- {
		w := q.writes[q.head]
		if !b.fits(writeSize(w.Key, w.Value)) {
			break
		}
		q.writes[q.head] = nil
		q.head++
		q.dequeued++
		delete(q.byKey, w.Key)
		b.add(w)
	}
	if q.head == len(q.writes) {
		q.writes, q.head = q.writes[:0], 0
	}
}
