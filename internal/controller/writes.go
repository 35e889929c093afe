package controller

import (
	"encoding/json"
	"strconv"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

func keyDone(id string, chunk int) string { return "d/" + id + "/" + strconv.Itoa(chunk) }

// writeQueue holds changes in order, the latest value of a key winning as
// long as it has not been taken.
type writeQueue struct {
	queue []*write
	byKey map[string]*write
	head  int
}

type write struct {
	key   string
	value json.RawMessage // nil: delete
	then  []func()
}

func (q *writeQueue) len() int { return len(q.queue) - q.head }

func (q *writeQueue) put(key string, value json.RawMessage, then func()) {
	if q.byKey == nil {
		q.byKey = map[string]*write{}
	}
	w := q.byKey[key]
	if w == nil {
		w = &write{key: key}
		q.byKey[key] = w
		q.queue = append(q.queue, w)
	}
	w.value = value
	if then != nil {
		w.then = append(w.then, then)
	}
}

func (q *writeQueue) del(key string) { q.put(key, nil, nil) }

// Batch is a group of changes to be committed together.
type Batch struct {
	Writes []wire.Write
	taken  []*write
}

// NextBatch takes the oldest changes, or nil if there are none. Batches must
// be committed one after the other, each followed by Committed.
func (c *Controller) NextBatch(maxOps int) *Batch {
	q := &c.writes
	if q.len() == 0 {
		return nil
	}
	b := &Batch{}
	size := 0
	for q.head < len(q.queue) && len(b.Writes) < maxOps {
		w := q.queue[q.head]
		size += len(w.key) + len(w.value) + 64
		if size > tuning.TxnBytes && len(b.Writes) > 0 {
			break
		}
		q.queue[q.head] = nil
		q.head++
		delete(q.byKey, w.key)
		b.taken = append(b.taken, w)
		if w.value == nil {
			b.Writes = append(b.Writes, wire.Write{Delete: w.key})
		} else {
			b.Writes = append(b.Writes, wire.Write{Put: w.key, Value: w.value})
		}
	}
	if q.head == len(q.queue) {
		q.queue, q.head = q.queue[:0], 0
	}
	return b
}

// Committed tells that a batch is durable.
func (c *Controller) Committed(b *Batch) {
	for _, w := range b.taken {
		for _, f := range w.then {
			f()
		}
	}
}
