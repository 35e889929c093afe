package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
)

// actions are the calls and writes that are due after one tick.
type actions struct {
	cloudCalls  []scaling.CloudCall
	directCalls []*leader.DirectCall
	// hasWrites is set if there are changes to commit.
	hasWrites bool
}

// tickLoop calls Tick on the leader's state at intervals and on each signal, and starts the actions
// that are due. It returns when the context has ended and all calls that it started have returned.
func (t *term) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tuning.TickInterval)
	defer ticker.Stop()
	calls, ctx := errgroup.WithContext(ctx)
	defer func() { _ = calls.Wait() }() // no call returns an error
	lastSummary := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.node.tickSignal:
		}
		now := time.Now()
		t.startActions(ctx, calls, t.nextActions(now))
		if now.Sub(lastSummary) > tuning.SummaryInterval {
			lastSummary = now
			t.logSummary()
		}
		if err := ctxtime.Sleep(ctx, tuning.TickIntervalMin); err != nil {
			return err
		}
	}
}

// nextActions calls Tick on the leader's state and returns the actions that are due. If this
// node doesn't hold the lease, these contain no calls, because another node may lead.
func (t *term) nextActions(now time.Time) actions {
	holdsLease := t.leadership.HoldsLease(now)
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	var dueActions actions
	t.state.Tick(now, holdsLease)
	if holdsLease {
		t.state.AdvanceDrains(now, time.Now())
		dueActions.cloudCalls = t.state.PlanScaling(now)
		dueActions.directCalls = t.state.NextDirectCalls(now)
	}
	dueActions.hasWrites = t.state.HasPendingWrites()
	return dueActions
}

// startActions starts the calls that are due, and wakes commitLoop if there are changes to commit.
func (t *term) startActions(ctx context.Context, calls *errgroup.Group, dueActions actions) {
	for _, call := range dueActions.directCalls {
		calls.Go(func() error {
			t.callAgent(ctx, call)
			return nil
		})
	}
	if dueActions.hasWrites {
		signal(t.node.writeSignal)
	}
	for _, call := range dueActions.cloudCalls {
		calls.Go(func() error {
			t.callCloud(ctx, call)
			return nil
		})
	}
}
