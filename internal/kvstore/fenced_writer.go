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

// ErrDeposed means that the writer's term is over.
var ErrDeposed = errors.New("no longer the leader")

// TermRecord is the value of the term key. Fence is changed within a term
// when the outcome of a transaction is unknown.
type TermRecord struct {
	Term  uint64 `json:"term"`
	Fence uint64 `json:"fence,omitempty"`
}

// Encode returns the value to be stored.
func (r TermRecord) Encode() json.RawMessage {
	value, _ := json.Marshal(r) // two integers: it can't fail
	return value
}

// FencedWriter makes a leader's changes, one transaction at a time. Each has two
// conditions: the leader key, so that it fails once the leader has changed, and the
// term key, so that a transaction whose answer was lost and which was then
// repeated cannot be applied a second time, later, over newer values.
//
// A transaction that the store does not understand, as it has become stricter
// than the settings say, is split until the change at fault is alone; that one is
// left out. Ending the term instead would depose each leader in turn, as the
// next one would send the same.
//
// The steps do no I/O. Begin starts a group of changes. Then Txn is sent and its
// result given to HandleResult, until the Outcome is Applied or Deposed; after
// OutcomeUnknown the term key is read and given to ResolveUnknown instead. Commit does all of
// this against a Store.
type FencedWriter struct {
	term      uint64
	leaderKey wire.Compare
	termKey   wire.Compare
	lastFence uint64

	current   []wire.Mutation   // what Txn writes
	remaining [][]wire.Mutation // parts split off, to follow in this order
	refused   []string          // keys of the changes left out
	// newFence: an earlier try of the current changes got no answer. From then on the
	// tries write lastFence to the term key: whichever is applied first, no other can be.
	newFence bool
}

// NewFencedWriter returns a writer for a term whose leader and term keys have the
// given versions.
func NewFencedWriter(term, leaderVersion, termVersion uint64) *FencedWriter {
	return &FencedWriter{
		term:      term,
		leaderKey: wire.Compare{Key: KeyLeader, Version: leaderVersion},
		termKey:   wire.Compare{Key: KeyTerm, Version: termVersion},
	}
}

// Begin starts a group of changes; the one before must have been applied.
func (w *FencedWriter) Begin(writes []wire.Mutation) {
	w.current, w.remaining, w.refused, w.newFence = writes, nil, nil, false
}

// Refused names the keys of the changes begun that were left out.
func (w *FencedWriter) Refused() []string { return w.refused }

// Txn is the transaction to send.
func (w *FencedWriter) Txn() wire.Txn {
	txn := wire.Txn{If: []wire.Compare{w.leaderKey, w.termKey}, Then: w.current}
	if w.newFence {
		record := TermRecord{Term: w.term, Fence: w.lastFence}
		txn.Then = append(slices.Clip(w.current), wire.Mutation{Put: KeyTerm, Value: record.Encode()})
	}
	return txn
}

// HandleResult applies the result of Txn.
func (w *FencedWriter) HandleResult(result wire.TxnResult, err error) Outcome {
	switch {
	case err == nil:
		if w.newFence {
			w.termKey.Version = result.Revision
		}
		return w.startNextPart()
	case errors.Is(err, ErrConflict):
		if !w.newFence || slices.Contains(result.FailedKeys, KeyLeader) {
			return Deposed
		}
		// An earlier try may have been the one that was applied.
		return OutcomeUnknown
	case errors.Is(err, ErrInvalidRequest):
		return w.splitCurrent()
	case errors.Is(err, httpclient.ErrNoResponse) && !w.newFence:
		w.newFence = true
		w.lastFence++
	}
	return Retry
}

// ResolveUnknown applies what KeyTerm was read to be.
func (w *FencedWriter) ResolveUnknown(item wire.KeyValue, err error) Outcome {
	var record TermRecord
	switch {
	case errors.Is(err, ErrNotFound):
		return Deposed
	case err != nil:
		return OutcomeUnknown
	case json.Unmarshal(item.Value, &record) != nil:
		return Deposed
	case record != TermRecord{Term: w.term, Fence: w.lastFence}:
		return Deposed
	}
	w.termKey.Version = item.Version
	return w.startNextPart()
}

// startNextPart goes on with the first of the parts that remain after a split.
func (w *FencedWriter) startNextPart() Outcome {
	if len(w.remaining) == 0 {
		return Applied
	}
	w.current, w.remaining, w.newFence = w.remaining[0], w.remaining[1:], false
	return ContinueSplit
}

// splitCurrent divides the changes of a transaction that was not understood, and was
// thus not carried out. An earlier try without an answer may still be: the fence
// stays with the first part. (If the first part is a change that can't be made,
// that try can't either.)
func (w *FencedWriter) splitCurrent() Outcome {
	half := len(w.current) / 2
	switch {
	case half > 0:
		w.remaining = append([][]wire.Mutation{w.current[half:]}, w.remaining...)
		w.current = w.current[:half:half]
		return ContinueSplit
	case len(w.current) == 1:
		w.refused = append(w.refused, w.current[0].Key())
		return w.startNextPart()
	}
	return Deposed
}

// Commit makes the changes durable or fails for good: it returns the keys of
// those left out when the others are applied, ErrDeposed when they never will
// be, or the context's error.
func (w *FencedWriter) Commit(ctx context.Context, store Store, writes []wire.Mutation) ([]string, error) {
	w.Begin(writes)
	outcome := Retry
	for {
		if outcome == OutcomeUnknown {
			outcome = w.ResolveUnknown(store.Get(ctx, KeyTerm))
		} else {
			outcome = w.HandleResult(store.Commit(ctx, w.Txn()))
		}
		switch outcome {
		case Applied:
			return w.Refused(), nil
		case Deposed:
			return nil, ErrDeposed
		case ContinueSplit:
			continue
		}
		if err := ctxtime.Sleep(ctx, tuning.StoreRetryDelay); err != nil {
			return nil, err
		}
	}
}
