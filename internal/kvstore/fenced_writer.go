package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// ErrDeposed means that the writer's term has ended.
var ErrDeposed = errors.New("no longer the leader")

// TermRecord is the value of the term key. Term is the last fencing token that the leader may use. Its
// first one is the number of its term, and the number of the next term is higher than Term. Fence is a
// counter that the leader increments within its term, see FencedWriter.
type TermRecord struct {
	Term  uint64 `json:"term"`
	Fence uint64 `json:"fence,omitempty"`
}

// Encode returns the record as JSON.
func (r TermRecord) Encode() json.RawMessage {
	value, _ := json.Marshal(r) // encoding integers can't fail
	return value
}

// FencedWriter writes a leader's changes, one transaction at a time. Each transaction has two
// conditions. The condition on the leader key makes the transaction fail after the leader has
// changed. The condition on the term key prevents a delayed copy of a transaction from overwriting
// newer values: when a transaction gets no response, the writer retries it, and the first copy may
// reach the store after the retry. A copy may also arrive after the transaction got a response. So a
// transaction that changes a key once more changes the term key, too, which makes the store refuse
// all copies of earlier transactions. A copy that is still applied changes no value.
//
// The store may refuse a transaction as invalid when its limits have become stricter than the
// settings. The writer then splits the transaction until the refused change is alone, and
// skips that change. It does not end the term, because every successor would send the same
// change and lose its term for the same reason.
//
// Begin, NextTxn, HandleResult and ResolveUnknown do no I/O. Begin starts a group of changes. The
// caller then commits the transaction that NextTxn returns and passes the result to HandleResult,
// until the Outcome is Applied or Deposed. After OutcomeUnknown, it first reads the term key and
// passes the result to ResolveUnknown. Commit runs these steps against a Store.
type FencedWriter struct {
	leaderCondition wire.Compare
	termCondition   wire.Compare
	fence           TermRecord // what the next fence stores
	reservedToken   uint64     // last fencing token that is durably reserved for the term
	// unfencedKeys are the keys changed since the last fence. Copies of the transactions that changed
	// them may still be applied.
	unfencedKeys map[string]struct{}

	currentPart    []wire.Mutation   // changes of the next transaction, without the fence
	remainingParts [][]wire.Mutation // later parts of a split transaction, in the order of sending
	refusedKeys    []string          // keys of the changes that the store refused
	// writesFence is set when a transaction for currentPart got no response, when it has to
	// reserve fencing tokens, or when it changes one of the unfencedKeys. It then also writes the
	// fence to the term key. When one copy has been applied, the term key has a new version, so
	// the condition on the term key fails for all other copies.
	writesFence bool
}

// NewFencedWriter returns a writer for a term whose leader and term keys have the
// given versions.
func NewFencedWriter(term, leaderVersion, termVersion uint64) *FencedWriter {
	return &FencedWriter{
		fence:           TermRecord{Term: term},
		unfencedKeys:    map[string]struct{}{},
		reservedToken:   term,
		leaderCondition: wire.Compare{Key: KeyLeader, Version: leaderVersion},
		termCondition:   wire.Compare{Key: KeyTerm, Version: termVersion},
	}
}

// Begin starts a group of changes. The outcome of the previous group must have been Applied.
func (w *FencedWriter) Begin(writes []wire.Mutation) {
	w.remainingParts, w.refusedKeys = nil, nil
	w.beginPart(writes)
}

// beginPart makes writes the current part, with a fence if it needs one.
func (w *FencedWriter) beginPart(writes []wire.Mutation) {
	w.currentPart, w.writesFence = writes, false
	if w.fence.Term > w.reservedToken || len(w.unfencedKeys) > tuning.MaxUnfencedKeys || slices.ContainsFunc(writes, w.isUnfenced) {
		w.addFence()
	}
}

// isUnfenced reports whether a change is for one of the unfencedKeys.
func (w *FencedWriter) isUnfenced(change wire.Mutation) bool {
	_, unfenced := w.unfencedKeys[change.Key()]
	return unfenced
}

// ReserveTokens makes the transactions of the next group also reserve the fencing tokens up to last for
// this term. It does nothing if they are reserved already. They may be used once ReservedToken
// returns at least last.
func (w *FencedWriter) ReserveTokens(last uint64) { w.fence.Term = max(w.fence.Term, last) }

// ReservedToken returns the last fencing token that is durably reserved for this term.
func (w *FencedWriter) ReservedToken() uint64 { return w.reservedToken }

// addFence makes the next transaction, and all its retries, write a new fence.
func (w *FencedWriter) addFence() {
	w.writesFence = true
	w.fence.Fence++
}

// RefusedKeys returns the keys of the changes in the current group that the store refused and the
// writer skipped.
func (w *FencedWriter) RefusedKeys() []string { return w.refusedKeys }

// NextTxn returns the next transaction to send.
func (w *FencedWriter) NextTxn() wire.Txn {
	txn := wire.Txn{If: []wire.Compare{w.leaderCondition, w.termCondition}, Then: w.currentPart}
	if w.writesFence {
		txn.Then = append(slices.Clip(w.currentPart), wire.Mutation{Put: KeyTerm, Value: w.fence.Encode()})
	}
	return txn
}

// HandleResult processes the result of the transaction that NextTxn returned.
func (w *FencedWriter) HandleResult(result wire.TxnResult, err error) Outcome {
	switch {
	case err == nil:
		if w.writesFence {
			w.markFenceApplied(result.Revision)
		} else {
			w.addUnfencedKeys()
		}
		return w.startNextPart()
	case errors.Is(err, ErrConflict):
		if !w.writesFence || slices.Contains(result.FailedKeys, KeyLeader) {
			return Deposed
		}
		// A copy sent earlier may have been applied and have changed the term key.
		return OutcomeUnknown
	case errors.Is(err, ErrInvalidRequest):
		return w.splitCurrent()
	case errors.Is(err, httpclient.ErrNoResponse) && !w.writesFence:
		w.addFence()
	}
	return Retry
}

// markFenceApplied records that the term key holds the fence, in the given version.
func (w *FencedWriter) markFenceApplied(version uint64) {
	w.termCondition.Version = version
	w.reservedToken = w.fence.Term
	clear(w.unfencedKeys)
}

// addUnfencedKeys records that the current part was applied without a fence.
func (w *FencedWriter) addUnfencedKeys() {
	for _, change := range w.currentPart {
		w.unfencedKeys[change.Key()] = struct{}{}
	}
}

// ResolveUnknown processes the result of reading KeyTerm. The last transaction has been applied
// if the key holds this writer's term and last fence.
func (w *FencedWriter) ResolveUnknown(item wire.KeyValue, err error) Outcome {
	var record TermRecord
	switch {
	case errors.Is(err, ErrNotFound):
		return Deposed
	case err != nil:
		return OutcomeUnknown
	case json.Unmarshal(item.Value, &record) != nil:
		return Deposed
	case record != w.fence:
		return Deposed
	}
	w.markFenceApplied(item.Version)
	return w.startNextPart()
}

// startNextPart makes the next part of a split transaction current, if any remain.
func (w *FencedWriter) startNextPart() Outcome {
	if len(w.remainingParts) == 0 {
		return Applied
	}
	next := w.remainingParts[0]
	w.remainingParts = w.remainingParts[1:]
	w.beginPart(next)
	return SendNextPart
}

// splitCurrent handles a transaction that the store refused as invalid. It halves currentPart, or
// skips it if it is a single change. A copy of the transaction that got no response earlier may
// still be applied, so the first half keeps writing the fence. That is not needed after a skipped
// change: the store refuses the earlier copy too, because it contains that change.
func (w *FencedWriter) splitCurrent() Outcome {
	half := len(w.currentPart) / 2
	switch {
	case half > 0:
		w.remainingParts = append([][]wire.Mutation{w.currentPart[half:]}, w.remainingParts...)
		w.currentPart = w.currentPart[:half:half]
		return SendNextPart
	case len(w.currentPart) == 1:
		w.refusedKeys = append(w.refusedKeys, w.currentPart[0].Key())
		return w.startNextPart()
	}
	return Deposed
}

// Commit writes the changes, and retries until they are durable. It returns the keys of the
// changes that the store refused, ErrDeposed if the writer's term has ended, or the context's
// error.
func (w *FencedWriter) Commit(ctx context.Context, store Store, writes []wire.Mutation) ([]string, error) {
	w.Begin(writes)
	outcome := Retry
	for {
		if outcome == OutcomeUnknown {
			outcome = w.ResolveUnknown(store.Get(ctx, KeyTerm))
		} else {
			outcome = w.HandleResult(store.Commit(ctx, w.NextTxn()))
		}
		switch outcome {
		case Applied:
			return w.RefusedKeys(), nil
		case Deposed:
			return nil, ErrDeposed
		case SendNextPart:
			continue
		}
		if err := ctxtime.Sleep(ctx, tuning.StoreRetryDelay); err != nil {
			return nil, err
		}
	}
}
