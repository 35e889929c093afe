package records

import (
	"slices"

	"github.com/rs/zerolog"

	"switchshore.example/switchshore/internal/tuning"
)

// PendingStarts is a queued start record. Its content is fixed when it is moved into a batch, so
// that it excludes attempts that have ended by then.
type PendingStarts interface {
	// MaxSize returns an upper bound for the size of the record in bytes, or 0 if the record has no
	// attempts and need not be written.
	MaxSize() int
	// Finalize is called when the record leaves the queue. It returns the change to be written,
	// or nil if the record need not be written.
	Finalize() *Write
}

// WriteQueues holds the queued changes for the key-value store. The queues differ in their shares of
// a batch, see NextBatch.
type WriteQueues struct {
	Interactive Queue // changes that users wait for
	Dependent   Queue // final states of jobs that were cancelled because a dependency was
	Background  Queue // completions, deletions and other changes that no user waits for
	starts      []PendingStarts

	log        zerolog.Logger
	valueLimit int // maximum bytes of a value
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

// NextBatch moves at most maxOps queued changes into a new batch and returns it, or nil if no change
// is queued. The queues share a batch as follows:
//   - Dependent changes get a small share of every batch. Beyond it, they get at most spareOps.
//   - Interactive changes get a limited share before the start records, and the remaining space
//     after them. Without this limit, acceptances would fill every batch, and no accepted job would
//     start or end.
//   - Background changes get at most spareOps: no user waits for them, and they must not use up the
//     operations that the key-value store allows for the other changes.
//   - If shedding is true, because new jobs are being rejected, spareOps is raised to a minimum, and
//     dependent and background changes precede the interactive ones beyond their limited share.
//
// Batches must be committed one after the other. MarkCommitted must be called after each.
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
		// Among the background changes are deletions of start records. The attempts of such
		// a record may have moved to a queued one, which must be durable before the deletion.
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

// moveStartsTo moves start records into the batch until one does not fit. It drops those that need
// not be written.
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

// MarkCommitted calls the OnCommit callbacks of a batch that is durable. refused are the keys whose
// changes the key-value store refused; these changes are dropped.
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

// dropRefused logs a change that the key-value store refuses, and calls its OnRefused callback. The
// change is never written. Only start records have the callback: their tasks are placed again. For
// other changes, OnCommit is never called, so that requests which wait for it get no response.
func (q *WriteQueues) dropRefused(w *Write) {
	q.log.Error().Str("key", w.Key).Int("bytes", len(w.Value)).Msg("record rejected by state store, skipped")
	if w.OnRefused != nil {
		w.OnRefused()
	}
}
