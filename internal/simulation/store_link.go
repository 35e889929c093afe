package simulation

import (
	"errors"
	"time"

	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// storeLink holds the faults that affect the requests of all nodes to the key-value store. A
// request may be lost, executed minutes later, or executed with its response lost.
type storeLink struct {
	slowUntil     time.Time
	downUntil     time.Time
	responsesLost messageFault
	writesDelayed messageFault
}

// storeSlowdownFactor multiplies the latency of requests while the store is slow.
const storeSlowdownFactor = 40

// messageFault is a fault that affects a share of all messages until a time.
type messageFault struct {
	share float64
	until time.Time
}

// affects draws whether a fault affects a message that is sent now.
func (l *eventLoop) affects(fault messageFault) bool {
	return l.now.Before(fault.until) && l.chance(fault.share)
}

// storeOutage keeps the key-value store down for a time.
func (sim *Simulation) storeOutage(span time.Duration) {
	sim.Store.Down = true
	if until := sim.now.Add(span); until.After(sim.storeLink.downUntil) {
		sim.storeLink.downUntil = until
	}
	sim.after(span, func() {
		if !sim.now.Before(sim.storeLink.downUntil) {
			sim.Store.Down = false
		}
	})
}

// LowerStoreLimits makes the key-value store enforce its present limits, and after a time the
// announced ones.
func (sim *Simulation) LowerStoreLimits(after time.Duration) {
	sim.Store.Limits = sim.Params.KVStore
	sim.after(after, func() { sim.Store.Limits = sim.Params.KVStore.Tightest() })
}

// callStore sends a request of the node to the key-value store. It calls done with the error of the
// response, unless the process has crashed in the meantime.
func (n *node) callStore(execute func() error, done func(error)) {
	sim, incarnation := n.sim, n.incarnation
	respond := func(delay time.Duration, err error) {
		n.after(delay, func() {
			if n.isRunning(incarnation) {
				done(err)
			}
		})
	}
	switch {
	case sim.now.Before(n.frozenUntil):
		n.after(0, func() {
			if n.isRunning(incarnation) {
				n.callStore(execute, done)
			}
		})
	case sim.now.Before(n.storeRefusesUntil):
		respond(sim.between(1, 20), kvstore.ErrUnavailable)
	case sim.now.Before(n.storeUnreachableUntil):
		if sim.chance(0.5) {
			// The request is delayed in the network until the partition ends or much later.
			sim.after(n.storeUnreachableUntil.Sub(sim.now)+sim.between(0, 60_000), func() {
				_ = execute() // the caller has timed out
			})
		}
		respond(tuning.StoreTimeout, httpclient.ErrNoResponse)
	default:
		n.executeStoreRequest(execute, respond)
	}
}

// executeStoreRequest delivers a request that reaches the key-value store.
func (n *node) executeStoreRequest(execute func() error, respond func(time.Duration, error)) {
	sim := n.sim
	lost := sim.faultsAllowed() && sim.chance(0.02)
	latency := sim.between(1, 10)
	if sim.now.Before(sim.storeLink.slowUntil) {
		latency *= storeSlowdownFactor
	}
	sim.after(latency, func() {
		err := execute()
		switch {
		case lost:
			respond(tuning.StoreTimeout, httpclient.ErrNoResponse)
		case errors.Is(err, httpclient.ErrNoResponse):
			respond(tuning.StoreTimeout, err)
		default:
			respond(sim.between(1, 20), err)
		}
	})
}

// commit sends a transaction. Its response may be lost although it is executed at once, or it may
// be executed late, after newer transactions of the same node.
func (n *node) commit(txn wire.Txn, done func(wire.TxnResult, error)) {
	sim := n.sim
	sim.trace(boundaryTransaction, n, txn)
	var result wire.TxnResult
	n.callStore(func() (err error) {
		switch {
		case sim.affects(sim.storeLink.responsesLost):
			sim.Observed[WriteResponseLost]++
			_, _ = sim.Store.Commit(txn) // the response is lost
			return httpclient.ErrNoResponse
		case sim.affects(sim.storeLink.writesDelayed):
			sim.Observed[DelayedTransaction]++
			sim.after(sim.between(2000, 12_000), func() {
				_, _ = sim.Store.Commit(txn) // the caller has timed out
			})
			return httpclient.ErrNoResponse
		}
		result, err = sim.Store.Commit(txn)
		sim.copies.answered(transactionRequest, n, func() { _, _ = sim.Store.Commit(txn) }) // nobody waits for the response
		return err
	}, func(err error) { done(result, err) })
}
