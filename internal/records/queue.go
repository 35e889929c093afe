package records

import (
	"encoding/json"
)

// Write is a change of one key that waits to be committed.
type Write struct {
	Key      string
	Value    json.RawMessage // nil: delete
	OnCommit []func()
	// OnRefused is called, if set, should the key-value store refuse the change for good.
	OnRefused func()
}

// Queue holds changes in order. The latest value of a key replaces an earlier one that has
// not been taken.
type Queue struct {
	writes   []*Write
	byKey    map[string]*Write
	head     int
	dequeued int64
}

// Len is the number of changes that wait.
func (q *Queue) Len() int { return len(q.writes) - q.head }

// Dequeued is the number of changes taken out so far.
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

// moveTo moves changes from the queue into the batch, at most most.
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
