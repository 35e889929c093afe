package node

import (
	"context"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// commitLoop commits the leader's changes in batches, one after the other.
func (t *term) commitLoop(ctx context.Context) error {
	writer := kvstore.NewFencedWriter(t.leadership.Term, t.leadership.LeaderVersion, t.leadership.TermVersion)
	for {
		batch := t.nextBatch()
		if batch == nil {
			if err := t.awaitChanges(ctx); err != nil {
				return err
			}
			continue
		}
		refused, err := writer.Commit(ctx, t.node.store, batch.Mutations)
		if err != nil {
			return err
		}
		t.node.mu.Lock()
		t.state.MarkBatchCommitted(batch, refused)
		t.node.mu.Unlock()
		signal(t.node.tickSignal)
	}
}

// nextBatch returns the next batch of changes to commit, or nil if there are none.
func (t *term) nextBatch() *records.Batch {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	return t.state.NextWriteBatch(t.node.store.MaxOps(), t.node.store.SpareWrites())
}

// awaitChanges waits for changes, then for another interval in which more can join their
// batch.
func (t *term) awaitChanges(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.node.writeSignal:
	}
	return ctxtime.Sleep(ctx, tuning.WriteBatchInterval)
}
