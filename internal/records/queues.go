package records

import (
	"slices"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/tuning"
)

// PendingStarts is a start record that waits to be written. Its content is fixed only when it
// is put into a batch, without the attempts that have ended meanwhile.
type PendingStarts interface {
	// MaxSize is the most that the record takes in bytes, 0 if nothing needs to be written.
	MaxSize() int
	// Finalize is called when the record leaves the queue. It returns the change to be made, or
	// nil if none is needed.
	Finalize() *Write
}

// WriteQueues are the changes that wait for the key-value store, by who waits for them.
type WriteQueues struct {
	Interactive Queue // what users wait for
	Dependent   Queue // final states that follow from those of other jobs
	Background  Queue // what no user waits for
	starts      []PendingStarts

	log        zerolog.Logger
	valueLimit int // bytes
}

// NewWriteQueues returns empty queues for a store whose values have at most valueLimit bytes.
func NewWriteQueues(log zerolog.Logger, valueLimit int) *WriteQueues {
	return &WriteQueues{log: log, valueLimit: valueLimit}
}

// PutStarts queues a start record.
func (q *WriteQueues) PutStarts(s PendingStarts) { q.starts = append(q.starts, s) }

// Len is the number of changes that wait.
func (q *WriteQueues) Len() int {
	return q.Interactive.Len() + q.Dependent.Len() + q.Background.Len() + len(q.starts)
}

// NextBatch takes at most maxOps changes to be made next, or returns nil if there are none:
// first those that users wait for, then the records of starts, then at most
// spare of the rest (completions, and what can be deleted), as no user waits
// for those and they must not use up the write budget of the others. Final states that
// follow from others have a small part of every batch, whatever else there is,
// and more only of what is spare. Users' changes take no more than a part of it while
// starts wait, and while new jobs are shed also while the rest does: acceptances would
// otherwise fill every batch, and no accepted job would begin or end. Batches must be
// committed one after the other, each followed by Committed.
func (q *WriteQueues) NextBatch(maxOps, spareOps int, shedding bool) *Batch {
	b := &Batch{maxOps: maxOps, valueLimit: q.valueLimit}
	q.Dependent.moveTo(b, max(1, maxOps/tuning.DependentWritesDivisor))
	interactiveShare := max(1, maxOps/tuning.InteractiveWritesDivisor)
	q.Interactive.moveTo(b, interactiveShare)
	q.moveStartsTo(b)
	if shedding {
		spareOps = max(spareOps, interactiveShare/tuning.InteractiveWritesDivisor)
	} else {
		q.Interactive.moveTo(b, maxOps)
	}
	q.Dependent.moveTo(b, spareOps)
	if len(q.starts) == 0 {
		// A record may be deleted only once what it still stood for is stored
		// elsewhere.
		q.Background.moveTo(b, spareOps)
	}
	q.Interactive.moveTo(b, maxOps)
	for _, w := range b.oversized {
		q.dropRejected(w)
	}
	if len(b.Mutations) == 0 {
		return nil
	}
	return b
}

// moveStartsTo moves start records into the batch.
func (q *WriteQueues) moveStartsTo(b *Batch) {
	for len(q.starts) > 0 {
		size := q.starts[0].MaxSize()
		if size > 0 && !b.fits(size+writeOverheadBytes) {
			return
		}
		if w := q.starts[0].Finalize(); w != nil {
			b.add(w)
		}
		q.starts = q.starts[1:]
	}
	q.starts = nil
}

// MarkCommitted records that a batch is durable, except for the refused keys.
func (q *WriteQueues) MarkCommitted(b *Batch, refused []string) {
	for _, w := range b.writes {
		if slices.Contains(refused, w.Key) {
			q.dropRejected(w)
			continue
		}
		for _, onCommit := range w.OnCommit {
			onCommit()
		}
	}
}

// dropRejected gives up a change that can't be stored. What waits for it goes on
// waiting, except for starts, which can be decided anew.
func (q *WriteQueues) dropRejected(w *Write) {
	q.log.Error().Str("key", w.Key).Int("bytes", len(w.Value)).Msg("record rejected by state store, skipped")
	if w.OnRefused != nil {
		w.OnRefused()
	}
}
