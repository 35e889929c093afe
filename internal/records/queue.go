package records

import (
	"encoding/json"
)

// Write is a change of one key in the key-value store.
type Write struct {
	Key      string
	Value    json.RawMessage // nil to delete the key
	OnCommit []func()        // called when the change is durable
	// OnRefused, if set, is called when the change is dropped because the key-value store refuses it.
	OnRefused func()
}

// Queue holds changes in the order in which their keys were queued. A new change of a queued key
// replaces the earlier one and keeps its position.
type Queue struct {
	writes   []*Write
	byKey    map[string]*Write // the queued changes
	head     int               // index of the first queued change in writes
	dequeued int64
}

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.writes) - q.head }

// Dequeued returns the number of changes moved into batches so far.
func (q *Queue) Dequeued() int64 { return q.dequeued }

// Put queues a new value of a key, or its deletion if value is nil. onCommit, if set, is called when
// this change is durable, or a later one that has replaced it in the queue.
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

// moveTo moves at most limit changes from the front of the queue into the batch, as long as they
// fit.
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
