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
	then   []func()
	size   int
}

// fits reports whether a change of the given size still goes in.
func (b *Batch) fits(size, maxOps int) bool {
	return len(b.Writes) < maxOps && (len(b.Writes) == 0 || b.size+size <= tuning.TxnBytes)
}

func (b *Batch) add(key string, value json.RawMessage, then ...func()) {
	if value == nil {
		b.Writes = append(b.Writes, wire.Write{Delete: key})
	} else {
		b.Writes = append(b.Writes, wire.Write{Put: key, Value: value})
	}
	b.size += changeSize(key, value)
	b.then = append(b.then, then...)
}

// changeSize is what a change takes of a transaction, its JSON frame included.
func changeSize(key string, value json.RawMessage) int { return len(key) + len(value) + 64 }

// take moves changes from the queue into the batch, at most most.
func (q *writeQueue) take(b *Batch, maxOps, most int) {
	for ; most > 0 && q.head < len(q.queue); most-- {
		w := q.queue[q.head]
		if !b.fits(changeSize(w.key, w.value), maxOps) {
			break
		}
		q.queue[q.head] = nil
		q.head++
		delete(q.byKey, w.key)
		b.add(w.key, w.value, w.then...)
	}
	if q.head == len(q.queue) {
		q.queue, q.head = q.queue[:0], 0
	}
}

// NextBatch takes the changes to be made next, or nil if there are none:
// first those that users wait for, then the records of starts, then at most
// spare of the rest (completions, and what can be deleted), as nobody waits
// for those and they must not use up the budget of the others. Batches must be
// committed one after the other, each followed by Committed.
func (c *Controller) NextBatch(maxOps, spare int) *Batch {
	b := &Batch{}
	c.urgent.take(b, maxOps, maxOps)
	c.takeStarts(b, maxOps)
	if len(c.unsaved) == 0 {
		// A record may be deleted only once what it still stood for is stored
		// elsewhere.
		c.bulk.take(b, maxOps, spare)
	}
	if len(b.Writes) == 0 {
		return nil
	}
	return b
}

// Committed tells that a batch is durable.
func (c *Controller) Committed(b *Batch) {
	for _, f := range b.then {
		f()
	}
}

// Pending reports whether changes wait for the state service.
func (c *Controller) Pending() bool { return c.urgent.len()+c.bulk.len()+len(c.unsaved) > 0 }
