package simulation

import (
	"errors"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

func (sim *Simulation) callStore(n *node, do func() error, done func(err error)) {
	life := n.incarnation
	answer := func(d time.Duration, err error) {
		sim.onNode(n, d, func() {
			if n.up && n.incarnation == life {
				done(err)
			}
		})
	}
	if sim.now.Before(n.frozenUntil) {
		sim.onNode(n, 0, func() {
			if n.up && n.incarnation == life {
				sim.callStore(n, do, done)
			}
		})
		return
	}
	if sim.now.Before(n.storeRefusesUntil) {
		answer(sim.between(1, 20), kvstore.ErrUnavailable)
		return
	}
	if sim.now.Before(n.storeUnreachableUntil) {
		if sim.chance(0.5) {
			// Held back and delivered when the cut ends, or a good while later.
			sim.after(n.storeUnreachableUntil.Sub(sim.now)+sim.between(0, 60_000), func() { _ = do() })
		}
		answer(tuning.StoreTimeout, httpclient.ErrNoResponse)
		return
	}
	lost := sim.faultsAllowed() && sim.chance(0.02)
	latency := sim.between(1, 10)
	if sim.now.Before(sim.storeSlowUntil) {
		latency *= 40
	}
	sim.after(latency, func() {
		err := do()
		if lost {
			answer(tuning.StoreTimeout, httpclient.ErrNoResponse)
			return
		}
		if errors.Is(err, httpclient.ErrNoResponse) {
			answer(tuning.StoreTimeout, err)
			return
		}
		answer(sim.between(1, 20), err)
	})
}

// commitTxn sends a transaction. Its answer may be lost though it is carried out
// at once, or it may be carried out late, after newer ones of the same node.
func (sim *Simulation) commitTxn(n *node, txn wire.Txn, done func(wire.TxnResult, error)) {
	sim.trace(boundaryTransaction, n, txn)
	var res wire.TxnResult
	sim.callStore(n, func() (err error) {
		switch {
		case sim.affects(sim.writeResponsesLost):
			sim.Observed[WriteResponseLost]++
			_, _ = sim.Store.Commit(txn)
			return httpclient.ErrNoResponse
		case sim.affects(sim.writesDelayed):
			sim.Observed[DelayedTransaction]++
			sim.after(sim.between(2000, 12_000), func() { _, _ = sim.Store.Commit(txn) })
			return httpclient.ErrNoResponse
		}
		res, err = sim.Store.Commit(txn)
		return err
	}, func(err error) { done(res, err) })
}
