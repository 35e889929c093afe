package leader

import (
	"encoding/json"
	"slices"

	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// writeQueue holds changes in order, the latest value of a key winning as
// long as it has not been taken.
type writeQueue struct {
	queue []*write
	byKey map[string]*write
	head  int
	taken int64 // changes taken out so far
}

type write struct {
	key      string
	value    json.RawMessage // nil: delete
	onCommit []func()
	// onRefused is called, if set, should the state service refuse it for good.
	onRefused func()
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
		w.onCommit = append(w.onCommit, then)
	}
}

func (q *writeQueue) del(key string) { q.put(key, nil, nil) }

// writeQueues are the changes that wait for the state service, by who waits for them.
type writeQueues struct {
	interactiveWrites writeQueue       // what users wait for
	dependentWrites   writeQueue       // final states that follow from those of other jobs
	backgroundWrites  writeQueue       // what nobody waits for
	unsavedStarts     []*pendingRecord // records of starts to be written
	startRecords      uint64           // start records named so far
}

// Batch is a group of changes to be committed together.
type Batch struct {
	Writes  []wire.Mutation
	changes []*write // the same, with what follows them
	size    int
	limit   int      // bytes of a value
	tooLong []*write // would be refused, and are not sent
}

// fits reports whether a change of the given size still goes in.
func (b *Batch) fits(size, maxOps int) bool {
	return len(b.Writes) < maxOps && (len(b.Writes) == 0 || b.size+size <= tuning.MaxTxnBytes)
}

// add puts a change in, unless the state service would refuse it. All records
// are made to fit; one that doesn't must not hold up the others.
func (b *Batch) add(w *write) {
	if len(w.key) > wire.MaxKeyBytes || len(w.value) > b.limit {
		b.tooLong = append(b.tooLong, w)
		return
	}
	if w.value == nil {
		b.Writes = append(b.Writes, wire.Mutation{Delete: w.key})
	} else {
		b.Writes = append(b.Writes, wire.Mutation{Put: w.key, Value: w.value})
	}
	b.size += changeSize(w.key, w.value)
	b.changes = append(b.changes, w)
}

// changeSize is what a change takes of a transaction, its JSON frame included.
func changeSize(key string, value json.RawMessage) int { return len(key) + len(value) + 64 }

// moveTo moves changes from the queue into the batch, at most most.
func (q *writeQueue) moveTo(b *Batch, maxOps, most int) {
	for ; most > 0 && q.head < len(q.queue); most-- {
		w := q.queue[q.head]
		if !b.fits(changeSize(w.key, w.value), maxOps) {
			break
		}
		q.queue[q.head] = nil
		q.head++
		q.taken++
		delete(q.byKey, w.key)
		b.add(w)
	}
	if q.head == len(q.queue) {
		q.queue, q.head = q.queue[:0], 0
	}
}

// NextBatch takes the changes to be made next, or nil if there are none:
// first those that users wait for, then the records of starts, then at most
// spare of the rest (completions, and what can be deleted), as nobody waits
// for those and they must not use up the budget of the others. Final states that
// follow from others have a small part of every batch, whatever else there is,
// and more only of what is spare. Users' changes take no more than a part of it while
// starts wait, and while new jobs are shed also while the rest does: acceptances would
// otherwise fill every batch, and no accepted job would begin or end. Batches must be
// committed one after the other, each followed by Committed.
func (l *Leader) NextBatch(maxOps, spare int) *Batch {
	b := &Batch{limit: l.valueLimit()}
	l.dependentWrites.moveTo(b, maxOps, max(1, maxOps/tuning.DependentWritesPart))
	first := max(1, maxOps/tuning.InteractiveWritesPart)
	l.interactiveWrites.moveTo(b, maxOps, first)
	l.addStartRecords(b, maxOps)
	if l.regulator != nil && l.regulator.Shedding() {
		spare = max(spare, first/tuning.InteractiveWritesPart)
	} else {
		l.interactiveWrites.moveTo(b, maxOps, maxOps)
	}
	l.dependentWrites.moveTo(b, maxOps, spare)
	if len(l.unsavedStarts) == 0 {
		// A record may be deleted only once what it still stood for is stored
		// elsewhere.
		l.backgroundWrites.moveTo(b, maxOps, spare)
	}
	l.interactiveWrites.moveTo(b, maxOps, maxOps)
	for _, w := range b.tooLong {
		l.handleRefused(w)
	}
	if len(b.Writes) == 0 {
		return nil
	}
	return b
}

// handleRefused gives a change up that can't be stored. What waits for it goes on
// waiting, but for starts, which can be decided anew.
func (l *Leader) handleRefused(w *write) {
	l.log.Error().Str("key", w.key).Int("bytes", len(w.value)).Msg("record rejected by state store, skipped")
	if w.onRefused != nil {
		w.onRefused()
	}
}

// BatchCommitted tells that a batch is durable, but for the keys refused.
func (l *Leader) BatchCommitted(b *Batch, refused []string) {
	for _, w := range b.changes {
		if slices.Contains(refused, w.key) {
			l.handleRefused(w)
			continue
		}
		for _, f := range w.onCommit {
			f()
		}
	}
}

// queued is the number of changes that wait for the state service.
func (q *writeQueues) queued() int {
	return q.interactiveWrites.len() + q.dependentWrites.len() + q.backgroundWrites.len() + len(q.unsavedStarts)
}

// HasPendingWrites reports whether changes wait for the state service.
func (l *Leader) HasPendingWrites() bool { return l.queued() > 0 }
