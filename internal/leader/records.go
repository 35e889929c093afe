package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
)

// valueLimit returns the maximum size of a value in the key-value store, in bytes.
func (l *Leader) valueLimit() int { return int(l.params.KVStore.ValueKB * 1024) }

// queueJobRecord queues the writes of a job's record. onDurable is called when all of them are
// durable.
func (l *Leader) queueJobRecord(j *jobs.Job, onDurable func()) {
	items := records.EncodeJob(&j.Job, j.SubmittedAtMS(), l.term, l.valueLimit())
	last := len(items) - 1
	for _, piece := range items[:last] {
		j.AddRecordKey(piece.Key)
		l.writes.Interactive.Put(piece.Key, piece.Value, nil)
	}
	l.writes.Interactive.Put(items[last].Key, items[last].Value, onDurable)
}

// NextWriteBatch removes at most maxOps writes from the queues and returns them, or nil if there
// are none. At most spareOps of them are writes that no user waits for. Batches must be committed
// one after the other, and MarkBatchCommitted must be called after each commit.
func (l *Leader) NextWriteBatch(maxOps, spareOps int) *records.Batch {
	return l.writes.NextBatch(maxOps, spareOps, l.admission.shedding())
}

// MarkBatchCommitted records that the writes of a batch are durable, except for the keys that the
// key-value store has refused.
func (l *Leader) MarkBatchCommitted(b *records.Batch, refused []string) {
	l.writes.MarkCommitted(b, refused)
}

// HasPendingWrites reports whether writes are pending.
func (l *Leader) HasPendingWrites() bool { return l.writes.Len() > 0 }
