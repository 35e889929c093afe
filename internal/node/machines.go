package node

import (
	"context"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// machineTypesLoop reads the cloud's catalogue of machine types at intervals.
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

// machineListLoop reads the cloud's list of machines at intervals.
func (t *term) machineListLoop(ctx context.Context) error {
	for {
		if err := ctxtime.Sleep(ctx, t.updateMachineList(ctx)); err != nil {
			return err
		}
	}
}

// updateMachineList reads the list once, and returns the time until the next: less
// when machines send no heartbeats.
func (t *term) updateMachineList(ctx context.Context) time.Duration {
	asked := time.Now()
	list, err := t.node.cloud.ListMachines(ctx)
	if err != nil {
		return tuning.CloudRetryDelay
	}
	now := time.Now()
	t.node.mu.Lock()
	t.state.ApplyMachineList(asked, now, list)
	urgent := t.state.HasLateHeartbeats(now)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
	if urgent {
		return t.listInterval(tuning.UrgentListIntervalFactor)
	}
	return t.listInterval(tuning.ListIntervalFactor)
}

// listInterval is a multiple of the time by which the list may be out of date.
func (t *term) listInterval(factor float64) time.Duration {
	lag := seconds.Duration(t.node.config.Params.Cloud.ListLagS * factor)
	return max(tuning.ListIntervalMin, lag)
}
