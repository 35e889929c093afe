package node

import (
	"context"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// machineTypesLoop fetches the machine types that the cloud offers, at intervals.
func (t *term) machineTypesLoop(ctx context.Context) error {
	for {
		delay := tuning.CatalogueInterval
		types, err := t.node.cloud.MachineTypes(ctx)
		if err != nil {
			delay = tuning.CloudRetryDelay
		} else {
			t.node.mu.Lock()
			t.state.SetMachineTypes(types)
			t.node.mu.Unlock()
			signal(t.node.tickSignal)
		}
		if err := ctxtime.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// machineListLoop fetches the cloud's list of machines at intervals.
func (t *term) machineListLoop(ctx context.Context) error {
	for {
		if err := ctxtime.Sleep(ctx, t.updateMachineList(ctx)); err != nil {
			return err
		}
	}
}

// updateMachineList fetches the list once and returns the delay until the next fetch, which is
// shorter while heartbeats are missing.
func (t *term) updateMachineList(ctx context.Context) time.Duration {
	requestedAt := time.Now()
	list, err := t.node.cloud.ListMachines(ctx)
	if err != nil {
		return tuning.CloudRetryDelay
	}
	now := time.Now()
	t.node.mu.Lock()
	t.state.ApplyMachineList(requestedAt, now, list)
	urgent := t.state.HasLateHeartbeats(now)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
	if urgent {
		return t.listInterval(tuning.UrgentListIntervalFactor)
	}
	return t.listInterval(tuning.ListIntervalFactor)
}

// listInterval returns the maximum lag of the cloud's list times factor, at least
// ListIntervalMin.
func (t *term) listInterval(factor float64) time.Duration {
	interval := seconds.Duration(t.node.config.Params.Cloud.ListLagS * factor)
	return max(tuning.ListIntervalMin, interval)
}
