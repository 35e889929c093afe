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

// FencedWriter makes a leader's changes, one transaction at a time. Every one is
// guarded on the leader key, so that it dies once the leader has changed, and
// on the term key, so that a transaction whose answer was lost and which was
// then repeated cannot be applied a second time, later, over newer values.
//
// A transaction that the state service does not understand, as it has become
// stricter than the settings say, is split until the change at fault is alone;
// that one is left out. Ending the term instead would depose each leader in
// turn, as the next one would send the same.
//
// The steps do no I/O: Begin, then Txn and Answer until the outcome is known.
type FencedWriter struct {
	term    uint64
	leader  wire.Compare
	fence   wire.Compare
	nonce   uint64
	writes  []wire.Mutation
	rest    [][]wire.Mutation // to follow, in this order
	refused []string
	fenced  bool
}

// Outcome is what an answer means for the changes begun.
type Outcome int

// Outcomes.
const (
	Applied        Outcome = iota // durable
	Retry                         // send Txn once more
	ContinueSplit                 // send Txn, which goes on with the rest
	OutcomeUnknown                // read KeyTerm, then ask Settled
	Deposed                       // not applied now, and never will be
)

// NewFencedWriter returns a writer for a term whose leader and term keys have the
// given versions.
func NewFencedWriter(term, leaderVersion, termVersion uint64) *FencedWriter {
	return &FencedWriter{
		term:   term,
		leader: wire.Compare{Key: KeyLeader, Version: leaderVersion},
		fence:  wire.Compare{Key: KeyTerm, Version: termVersion},
	}
}

// Begin starts a group of changes; the one before must have been applied.
func (w *FencedWriter) Begin(writes []wire.Mutation) {
	w.writes, w.fenced, w.rest, w.refused = writes, false, nil, nil
}

// Refused names the keys of the changes begun that were left out.
func (w *FencedWriter) Refused() []string { return w.refused }

// Txn is the transaction to send.
func (w *FencedWriter) Txn() wire.Txn {
	txn := wire.Txn{If: []wire.Compare{w.leader, w.fence}, Then: w.writes}
	if w.fenced {
		value, _ := json.Marshal(TermRecord{Term: w.term, Fence: w.nonce})
		txn.Then = append(slices.Clip(w.writes), wire.Mutation{Put: KeyTerm, Value: value})
	}
	return txn
}

// Answer takes in the answer to Txn.
func (w *FencedWriter) Answer(res wire.TxnResult, err error) Outcome {
	switch {
	case err == nil:
		if w.fenced {
			w.fence.Version = res.Revision
		}
		return w.next()
	case errors.Is(err, ErrConflict):
		if !w.fenced || slices.Contains(res.FailedKeys, KeyLeader) {
			return Deposed
		}
		// An earlier try may have been the one that was applied.
		return OutcomeUnknown
	case errors.Is(err, ErrInvalidRequest):
		return w.split()
	case errors.Is(err, httpclient.ErrNoResponse) && !w.fenced:
		// From now on the tries carry a new fence: whichever try is applied
		// first, no other one can be.
		w.fenced = true
		w.nonce++
	}
	return Retry
}

// next goes on with what a split has left over.
func (w *FencedWriter) next() Outcome {
	if len(w.rest) == 0 {
		return Applied
	}
	w.writes, w.rest, w.fenced = w.rest[0], w.rest[1:], false
	return ContinueSplit
}

// split divides the changes of a transaction that was not understood, and was
// thus not carried out. An earlier try without an answer may still be: the fence
// stays with the first part. (If the first part is a change that can't be made,
// that try can't either.)
func (w *FencedWriter) split() Outcome {
	switch half := len(w.writes) / 2; {
	case half > 0:
		w.rest = append([][]wire.Mutation{w.writes[half:]}, w.rest...)
		w.writes = w.writes[:half:half]
		return ContinueSplit
	case len(w.writes) == 1:
		w.refused = append(w.refused, w.writes[0].Key())
		return w.next()
	}
	return Deposed
}

// ResolveUnknown takes in what KeyTerm was read to be.
func (w *FencedWriter) ResolveUnknown(item wire.KeyValue, err error) Outcome {
	var rec TermRecord
	switch {
	case errors.Is(err, ErrNotFound):
		return Deposed
	case err != nil:
		return OutcomeUnknown
	case json.Unmarshal(item.Value, &rec) != nil || rec.Term != w.term || rec.Fence != w.nonce:
		return Deposed
	}
	w.fence.Version = item.Version
	return w.next()
}

// Commit makes the changes durable or fails for good: it returns the keys of
// those left out when the others are applied, ErrDeposed when they never will
// be, or the context's error.
func (w *FencedWriter) Commit(ctx context.Context, s Store, writes []wire.Mutation) ([]string, error) {
	w.Begin(writes)
	outcome := Retry
	for {
		if outcome == OutcomeUnknown {
			outcome = w.ResolveUnknown(s.Get(ctx, KeyTerm))
		} else {
			outcome = w.Answer(s.Commit(ctx, w.Txn()))
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
