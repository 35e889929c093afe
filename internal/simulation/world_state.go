package simulation

import (
	"errors"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

func (w *World) toState(n *node, do func() error, done func(err error)) {
	life := n.incarnation
	answer := func(d time.Duration, err error) {
		w.onNode(n, d, func() {
			if n.up && n.incarnation == life {
				done(err)
			}
		})
	}
	if w.now.Before(n.frozenUntil) {
		w.onNode(n, 0, func() {
			if n.up && n.incarnation == life {
				w.toState(n, do, done)
			}
		})
		return
	}
	if w.now.Before(n.refusedUntil) {
		answer(w.between(1, 20), kvstore.ErrUnavailable)
		return
	}
	if w.now.Before(n.stateUnreachableUntil) {
		if w.chance(0.5) {
			// Held back and delivered when the cut ends, or a good while later.
			w.after(n.stateUnreachableUntil.Sub(w.now)+w.between(0, 60_000), func() { _ = do() })
		}
		answer(tuning.StoreTimeout, httpclient.ErrNoResponse)
		return
	}
	lost := w.faultsAllowed() && w.chance(0.02)
	latency := w.between(1, 10)
	if w.now.Before(w.stateSlowUntil) {
		latency *= 40
	}
	w.after(latency, func() {
		err := do()
		if lost {
			answer(tuning.StoreTimeout, httpclient.ErrNoResponse)
			return
		}
		if errors.Is(err, httpclient.ErrNoResponse) {
			answer(tuning.StoreTimeout, err)
			return
		}
		answer(w.between(1, 20), err)
	})
}

// transact sends a transaction. Its answer may be lost though it is carried out
// at once, or it may be carried out late, after newer ones of the same node.
func (w *World) transact(n *node, txn wire.Txn, done func(wire.TxnResult, error)) {
	w.trace(edgeTransaction, n, txn)
	var res wire.TxnResult
	w.toState(n, func() (err error) {
		switch {
		case w.affects(w.writesLost):
			w.Observed[WriteAnswerLost]++
			_, _ = w.State.Commit(txn)
			return httpclient.ErrNoResponse
		case w.affects(w.writesLate):
			w.Observed[LateTransaction]++
			w.after(w.between(2000, 12_000), func() { _, _ = w.State.Commit(txn) })
			return httpclient.ErrNoResponse
		}
		res, err = w.State.Commit(txn)
		return err
	}, func(err error) { done(res, err) })
}
