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
	// hasWrites is set if changes wait to be committed.
	hasWrites bool
}

// tickLoop ticks the leader's state at intervals and when signalled, and starts the actions
// that are due. It returns after all calls that it started have ended.
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

// nextActions ticks the leader's state and returns the actions that are due. Without the lease
// it returns no calls.
func (t *term) nextActions(now time.Time) actions {
	holdsLease := t.leadership.HoldsLease(now)
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	var due actions
	t.state.Tick(now, holdsLease)
	if holdsLease {
		t.state.AdvanceDrains(now, time.Now())
		due.cloudCalls = t.state.PlanScaling(now)
		due.directCalls = t.state.NextDirectCalls(now)
	}
	due.hasWrites = t.state.HasPendingWrites()
	return due
}

// startActions starts the calls that are due, and wakes commitLoop if there are changes.
func (t *term) startActions(ctx context.Context, calls *errgroup.Group, due actions) {
	for _, call := range due.directCalls {
		calls.Go(func() error {
			t.callWorker(ctx, call)
			return nil
		})
	}
	if due.hasWrites {
		signal(t.node.writeSignal)
	}
	for _, call := range due.cloudCalls {
		calls.Go(func() error {
			t.callCloud(ctx, call)
			return nil
		})
	}
}
