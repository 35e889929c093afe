package node

import (
	"context"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
)

// commitLoop commits the leader's changes in batches, one after the other, until a commit fails for
// good or the context ends.
func (t *term) commitLoop(ctx context.Context) error {
	writer := kvstore.NewFencedWriter(t.leadership.Term, t.leadership.LeaderVersion, t.leadership.TermVersion)
	for {
		batch, lastToken := t.nextWriteBatch()
		if batch == nil {
			if err := t.waitForChanges(ctx); err != nil {
				return err
			}
			continue
		}
		writer.ReserveTokens(lastToken)
		refused, err := writer.Commit(ctx, t.node.store, batch.Mutations)
		if err != nil {
			return err
		}
		t.node.mu.Lock()
		t.state.MarkBatchCommitted(batch, refused)
		t.state.MarkTokensReserved(writer.ReservedToken())
		t.node.mu.Unlock()
		signal(t.node.tickSignal)
	}
}

// nextWriteBatch returns the next batch of changes to commit, or nil if there are none, and the last
// fencing token that the term should have reserved with it.
func (t *term) nextWriteBatch() (batch *records.Batch, lastToken uint64) {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	batch = t.state.NextWriteBatch(t.node.store.MaxTxnChanges(), t.node.store.BackgroundWriteAllowance())
	return batch, t.state.LastTokenToReserve()
}

// waitForChanges waits until there are changes to commit, then for WriteBatchInterval, so that
// further changes can be part of the same batch.
func (t *term) waitForChanges(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.node.writeSignal:
	}
	return ctxtime.Sleep(ctx, tuning.WriteBatchInterval)
}
