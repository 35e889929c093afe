package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"switchshore.example/switchshore/internal/httpc"
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

// Writer makes a leader's changes, one transaction at a time. Every one is
// guarded on the leader key, so that it dies once the leader has changed, and
// on the term key, so that a transaction whose answer was lost and which was
// then repeated cannot be applied a second time, later, over newer values.
type Writer struct {
	store  API
	term   uint64
	leader wire.Guard
	fence  wire.Guard
	nonce  uint64
}

// NewWriter returns a writer for a term whose leader and term keys have the
// given versions.
func NewWriter(s API, term, leaderVersion, termVersion uint64) *Writer {
	return &Writer{
		store:  s,
		term:   term,
		leader: wire.Guard{Key: KeyLeader, Version: leaderVersion},
		fence:  wire.Guard{Key: KeyTerm, Version: termVersion},
	}
}

// Commit makes the changes durable or fails for good: it returns nil when
// they are applied, ErrDeposed when they never will be, or the context's error.
func (w *Writer) Commit(ctx context.Context, writes []wire.Write) error {
	fenced := false
	for {
		txn := wire.Txn{If: []wire.Guard{w.leader, w.fence}, Then: writes}
		if fenced {
			value, err := json.Marshal(TermRecord{Term: w.term, Fence: w.nonce})
			if err != nil {
				return err
			}
			txn.Then = append(slices.Clip(writes), wire.Write{Put: KeyTerm, Value: value})
		}
		res, err := w.store.Commit(ctx, txn)
		switch {
		case err == nil:
			if fenced {
				w.fence.Version = res.Revision
			}
			return nil
		case errors.Is(err, ErrConflict):
			if !fenced || slices.Contains(res.Failed, KeyLeader) {
				return ErrDeposed
			}
			// An earlier try may have been the one that was applied.
			applied, err := w.settle(ctx)
			if err != nil {
				return err
			}
			if !applied {
				return ErrDeposed
			}
			return nil
		case errors.Is(err, ErrMalformed):
			return fmt.Errorf("%w: %w", ErrDeposed, err)
		case errors.Is(err, httpc.ErrNoAnswer) && !fenced:
			// From now on the repeats carry a new fence: whichever try is
			// applied first, no other one can be.
			fenced = true
			w.nonce++
		}
		if err := Pause(ctx, tuning.StoreRetry); err != nil {
			return err
		}
	}
}

// settle reads whether the term key carries this writer's latest fence.
func (w *Writer) settle(ctx context.Context) (bool, error) {
	for {
		item, err := w.store.Get(ctx, KeyTerm)
		if err == nil {
			var rec TermRecord
			if err := json.Unmarshal(item.Value, &rec); err != nil {
				return false, err
			}
			if rec.Term != w.term || rec.Fence != w.nonce {
				return false, nil
			}
			w.fence.Version = item.Version
			return true, nil
		}
		if errors.Is(err, ErrNotFound) {
			return false, nil
		}
		if err := Pause(ctx, tuning.StoreRetry); err != nil {
			return false, err
		}
	}
}

// Pause sleeps unless the context ends first.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
