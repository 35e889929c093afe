package simulation

import (
	"time"

	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// maxBatch is the maximum number of changes that a leader writes in one transaction.
const maxBatch = 8

// writeBudget is a token bucket that limits the rate of changes that the leader writes.
type writeBudget struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens since the last call, up to those of half a second.
func (b *writeBudget) refill(now time.Time, perSecond float64) {
	b.tokens = min(b.tokens+perSecond*now.Sub(b.updatedAt).Seconds(), perSecond/2)
	b.updatedAt = now
}

// commitLoop commits the leader's changes, one batch at a time.
func (n *node) commitLoop(l *leader.Leader) {
	if n.leader != l {
		return
	}
	if n.batch == nil {
		if n.batch = n.nextBatch(l); n.batch == nil {
			n.after(tuning.WriteBatchInterval, func() { n.commitLoop(l) })
			return
		}
		writes := n.batch.Mutations
		if n.previousVersion {
			writes = PreviousVersionWrites(writes)
		}
		n.writer.ReserveTokens(l.LastTokenToReserve())
		n.writer.Begin(writes)
	}
	n.commit(n.writer.NextTxn(), func(result wire.TxnResult, err error) {
		if n.leader == l {
			n.handleOutcome(l, n.writer.HandleResult(result, err))
		}
	})
}

// nextBatch returns the changes to be written now, or nil if there are none.
func (n *node) nextBatch(l *leader.Leader) *records.Batch {
	limits := n.storeLimits()
	maxOps, spare := min(maxBatch, limits.TxnOps-1), n.sim.rng.IntN(5)
	if !n.sim.LimitWriteRate {
		return l.NextWriteBatch(maxOps, spare)
	}
	perSecond := limits.WriteRPS * tuning.StoreLeaderWriteShare
	n.budget.refill(n.sim.now, perSecond)
	tokens := n.budget.tokens
	if tokens < 1 {
		return nil
	}
	batch := l.NextWriteBatch(min(maxOps, int(tokens)), max(0, int(tokens-perSecond/4)))
	if batch != nil {
		n.budget.tokens -= float64(len(batch.Mutations))
	}
	return batch
}

// handleOutcome continues the commit loop after a transaction of the leader.
func (n *node) handleOutcome(l *leader.Leader, outcome kvstore.Outcome) {
	switch outcome {
	case kvstore.Applied:
		l.MarkBatchCommitted(n.batch, n.writer.RefusedKeys())
		l.MarkTokensReserved(n.writer.ReservedToken())
		n.batch = nil
		n.commitLoop(l)
	case kvstore.SendNextPart:
		n.commitLoop(l)
	case kvstore.Retry:
		n.after(tuning.StoreRetryDelay, func() { n.commitLoop(l) })
	case kvstore.Deposed:
		n.stepDown()
	case kvstore.OutcomeUnknown:
		n.resolveUnknownWrite(l)
	}
}

// resolveUnknownWrite reads the term's record after a transaction without a response.
func (n *node) resolveUnknownWrite(l *leader.Leader) {
	n.sim.trace(boundaryStoreRead, n, kvstore.KeyTerm)
	var item wire.KeyValue
	n.callStore(func() (err error) {
		item, err = n.sim.Store.Get(kvstore.KeyTerm)
		return err
	}, func(err error) {
		if n.leader == l {
			n.handleOutcome(l, n.writer.ResolveUnknown(item, err))
		}
	})
}
