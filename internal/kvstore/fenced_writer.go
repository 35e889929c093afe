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

// TermRecord is the value of the term key. Fence increases within a term, whenever the outcome
// of a transaction is unknown.
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
// conditions. The condition on the leader key makes it fail once the leader has changed. The
// condition on the term key prevents a delayed copy from overwriting newer values: when the
// response to a transaction is lost, the transaction is retried, and the first copy may reach
// the store later.
//
// The store may refuse a transaction as invalid when its limits have become stricter than the
// settings. The writer then splits the transaction until the refused change is alone, and
// skips that change. It does not end the term, because each next leader would send the same
// change and be deposed in turn.
//
// Begin, Txn, HandleResult and ResolveUnknown do no I/O. Begin starts a group of changes. The
// caller then sends Txn and passes its result to HandleResult until the Outcome is Applied or
// Deposed. After OutcomeUnknown it reads the term key and passes that to ResolveUnknown
// instead. Commit runs these steps against a Store.
type FencedWriter struct {
	term            uint64
	leaderCondition wire.Compare
	termCondition   wire.Compare
	lastFence       uint64

	current   []wire.Mutation   // changes of the next transaction
	remaining [][]wire.Mutation // parts split off, which are sent next in this order
	refused   []string          // keys of the skipped changes
	// writesFence is set when an attempt to write the current changes got no response. From
	// then on each attempt also writes lastFence to the term key: once one of the attempts
	// has been applied, the condition on the term key fails for all others.
	writesFence bool
}

// NewFencedWriter returns a writer for a term whose leader and term keys have the
// given versions.
func NewFencedWriter(term, leaderVersion, termVersion uint64) *FencedWriter {
	return &FencedWriter{
		term:            term,
		leaderCondition: wire.Compare{Key: KeyLeader, Version: leaderVersion},
		termCondition:   wire.Compare{Key: KeyTerm, Version: termVersion},
	}
}

// Begin starts a group of changes. The previous group must have been applied.
func (w *FencedWriter) Begin(writes []wire.Mutation) {
	w.current, w.remaining, w.refused, w.writesFence = writes, nil, nil, false
}

// Refused returns the keys of the changes in the current group that the store refused and the
// writer skipped.
func (w *FencedWriter) Refused() []string { return w.refused }

// Txn returns the next transaction to send.
func (w *FencedWriter) Txn() wire.Txn {
	txn := wire.Txn{If: []wire.Compare{w.leaderCondition, w.termCondition}, Then: w.current}
	if w.writesFence {
		record := TermRecord{Term: w.term, Fence: w.lastFence}
		txn.Then = append(slices.Clip(w.current), wire.Mutation{Put: KeyTerm, Value: record.Encode()})
	}
	return txn
}

// HandleResult processes the result of the transaction that Txn returned.
func (w *FencedWriter) HandleResult(result wire.TxnResult, err error) Outcome {
	switch {
	case err == nil:
		if w.writesFence {
			w.termCondition.Version = result.Revision
		}
		return w.startNextPart()
	case errors.Is(err, ErrConflict):
		if !w.writesFence || slices.Contains(result.FailedKeys, KeyLeader) {
			return Deposed
		}
		// An earlier attempt may have been applied and have changed the term key.
		return OutcomeUnknown
	case errors.Is(err, ErrInvalidRequest):
		return w.splitCurrent()
	case errors.Is(err, httpclient.ErrNoResponse) && !w.writesFence:
		w.writesFence = true
		w.lastFence++
	}
	return Retry
}

// ResolveUnknown processes the result of reading KeyTerm. The transaction has been applied if
// the key holds this writer's term and last fence.
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
	w.termCondition.Version = item.Version
	return w.startNextPart()
}

// startNextPart makes the next part of a split transaction current, if any remain.
func (w *FencedWriter) startNextPart() Outcome {
	if len(w.remaining) == 0 {
		return Applied
	}
	w.current, w.remaining, w.writesFence = w.remaining[0], w.remaining[1:], false
	return ContinueSplit
}

// splitCurrent halves a transaction that the store refused as invalid and did not apply, or skips
// it if it has a single change. An earlier attempt without a response may still be applied, so the
// first half keeps writing the fence. If the first half is a single change that the store refuses,
// the store refuses that earlier attempt too.
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

// Commit writes the changes, with retries until the outcome is final. It returns the keys of
// the skipped changes once all others are durable, ErrDeposed if the writer's term has ended,
// or the context's error.
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
