package node

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/election"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/records"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// term runs the loops of one term in which this node leads. The node's mu guards state.
type term struct {
	node       *Node
	state      *leader.Leader
	leadership *election.Leadership
}

// leadTerm loads the stored records, then runs the leader's loops until the term ends.
func (n *Node) leadTerm(ctx context.Context, leadership *election.Leadership) error {
	n.store.SetLeading(true)
	defer n.store.SetLeading(false)
	state, err := n.loadRecords(ctx, leadership)
	if err != nil {
		return err
	}
	n.startLeading(state, leadership)
	defer n.stopLeading(state)
	t := &term{node: n, state: state, leadership: leadership}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.commitLoop(ctx) })
	g.Go(func() error { return t.tickLoop(ctx) })
	g.Go(func() error { return t.machineTypesLoop(ctx) })
	g.Go(func() error { return t.machineListLoop(ctx) })
	if n.gate != nil {
		g.Go(func() error { return t.admissionLoop(ctx) })
	}
	return g.Wait()
}

// startLeading makes the leader's state available to calls and notifies the peers.
func (n *Node) startLeading(state *leader.Leader, leadership *election.Leadership) {
	n.mu.Lock()
	n.leader, n.leadership = state, leadership
	n.mu.Unlock()
	n.hub.SendHeartbeats()
}

// stopLeading withdraws the leader's state from calls, ends the requests that wait in it and
// notifies the peers.
func (n *Node) stopLeading(state *leader.Leader) {
	n.mu.Lock()
	n.leader, n.leadership = nil, nil
	state.EndTerm()
	n.mu.Unlock()
	n.hub.SendHeartbeats()
}

// loadRecords reads all records, and retries until that succeeds. The reads follow the
// acquisition of the leader key, so no earlier leader can write after them.
func (n *Node) loadRecords(ctx context.Context, leadership *election.Leadership) (*leader.Leader, error) {
	for {
		state, err := n.readRecords(ctx, leadership)
		if err == nil {
			return state, nil
		}
		level, delay := zerolog.DebugLevel, tuning.StoreRetryDelay
		if errors.Is(err, records.ErrCorrupt) {
			level, delay = zerolog.ErrorLevel, tuning.CorruptRecordRetryDelay
		}
		n.log.WithLevel(level).Err(err).Msg("loading records from the key-value store failed, retrying")
		if err := ctxtime.Sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// readRecords reads all records once and returns the leader's state built from them.
func (n *Node) readRecords(ctx context.Context, leadership *election.Leadership) (*leader.Leader, error) {
	state := leader.New(n.log, n.config.Params, *n.operator, leadership.Term, leadership.WonAt, n.gracePeriod)
	for _, prefix := range records.LoadOrder {
		err := n.store.List(ctx, prefix, func(item wire.KeyValue) error {
			return state.LoadRecord(time.Now(), time.Now(), item)
		})
		if err != nil {
			return nil, err
		}
	}
	state.FinishLoading(time.Now())
	return state, nil
}
