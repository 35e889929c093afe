package leader

import (
	"switchshore.example/switchshore/internal/jobs"
	"switchshore.example/switchshore/internal/records"
)

// valueLimit is the largest value of the key-value store, in bytes.
func (l *Leader) valueLimit() int { return int(l.params.KVStore.ValueKB * 1024) }

// storeJob queues the writes of a job and calls then when all are durable.
func (l *Leader) storeJob(j *jobs.Job, then func()) {
	items := records.EncodeJob(&j.Job, j.SubmittedAtMS(), l.term, l.valueLimit())
	last := len(items) - 1
	for _, piece := range items[:last] {
		j.AddRecordKey(piece.Key)
		l.writes.Interactive.Put(piece.Key, piece.Value, nil)
	}
	l.writes.Interactive.Put(items[last].Key, items[last].Value, then)
}

// NextBatch takes at most maxOps changes to be made next, or returns nil if there are none;
// spare is how many of them may be such that no user waits for. Batches must be committed one
// after the other, each followed by BatchCommitted.
func (l *Leader) NextBatch(maxOps, spare int) *records.Batch {
	return l.writes.NextBatch(maxOps, spare, l.admission.shedding())
}

// BatchCommitted records that a batch is durable, except for the refused keys.
func (l *Leader) BatchCommitted(b *records.Batch, refused []string) {
	l.writes.MarkCommitted(b, refused)
}

// HasPendingWrites reports whether changes wait for the key-value store.
func (l *Leader) HasPendingWrites() bool { return l.writes.Len() > 0 }
