package records

import (
	"slices"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/tuning"
)

// PendingStarts is a queued start record. Its content is fixed only when it is moved into a
// batch, and excludes attempts that have ended by then.
type PendingStarts interface {
	// MaxSize bounds the size of the record in bytes. It is 0 if nothing needs to be written.
	MaxSize() int
	// Finalize is called when the record leaves the queue. It returns the change to be written,
	// or nil if none is needed.
	Finalize() *Write
}

// WriteQueues are the queued changes for the key-value store, by who waits for them.
type WriteQueues struct {
	Interactive Queue // changes that users wait for
	Dependent   Queue // final states that follow from those of other jobs
	Background  Queue // changes that no user waits for
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

// Len returns the number of queued changes.
func (q *WriteQueues) Len() int {
	return q.Interactive.Len() + q.Dependent.Len() + q.Background.Len() + len(q.starts)
}

// NextBatch moves at most maxOps queued changes into a batch, or returns nil if there are none.
// The queues share a batch as follows:
//   - Dependent changes get a small share of every batch, and beyond it only spareOps.
//   - Interactive changes get a limited share before the start records and the rest after them.
//     Without this limit acceptances would fill every batch, and no accepted job would start or
//     end. While new jobs are shed, dependent and background changes come before the rest, and
//     spareOps is raised to a minimum.
//   - Background changes (completions and deletions) get at most spareOps: no user waits for
//     them, and they must not use up the write budget of the others.
//
// Batches must be committed one after the other, each followed by MarkCommitted.
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
		// A start record may be deleted only once the attempts that it still named are
		// stored in another one, which may be queued.
		q.Background.moveTo(b, spareOps)
	}
	q.Interactive.moveTo(b, maxOps)
	for _, w := range b.oversized {
		q.dropRefused(w)
	}
	if len(b.Mutations) == 0 {
		return nil
	}
	return b
}

// moveStartsTo moves start records into the batch until one does not fit.
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

// MarkCommitted calls the callbacks of a durable batch. Changes of the refused keys are dropped
// instead.
func (q *WriteQueues) MarkCommitted(b *Batch, refused []string) {
	for _, w := range b.writes {
		if slices.Contains(refused, w.Key) {
			q.dropRefused(w)
			continue
		}
		for _, onCommit := range w.OnCommit {
			onCommit()
		}
	}
}

// dropRefused drops a change that the store refuses. Callers that wait for it keep waiting,
// except for starts, which are decided again.
func (q *WriteQueues) dropRefused(w *Write) {
	q.log.Error().Str("key", w.Key).Int("bytes", len(w.Value)).Msg("record rejected by state store, skipped")
	if w.OnRefused != nil {
		w.OnRefused()
	}
}
