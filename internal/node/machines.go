package node

import (
	"context"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/seconds"
	"switchshore.example/switchshore/internal/tuning"
)

// machineTypesLoop fetches the machine types that the cloud offers, at intervals, and passes them
// to the leader's state.
func (t *term) machineTypesLoop(ctx context.Context) error {
	for {
		delay := tuning.MachineTypesInterval
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

// machineListLoop fetches the cloud's list of machines at intervals, see updateMachineList.
func (t *term) machineListLoop(ctx context.Context) error {
	for {
		if err := ctxtime.Sleep(ctx, t.updateMachineList(ctx)); err != nil {
			return err
		}
	}
}

// updateMachineList fetches the cloud's list of machines once, applies it to the leader's state and
// returns the delay until the next fetch. While heartbeats are late the delay is shorter, because
// the list shows whether the machines still exist.
func (t *term) updateMachineList(ctx context.Context) time.Duration {
	requestedAt := time.Now()
	list, err := t.node.cloud.ListMachines(ctx)
	if err != nil {
		return tuning.CloudRetryDelay
	}
	now := time.Now()
	t.node.mu.Lock()
	t.state.ApplyMachineList(requestedAt, now, list)
	heartbeatsLate := t.state.HasLateHeartbeats(now)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
	if heartbeatsLate {
		return t.listInterval(tuning.UrgentListIntervalFactor)
	}
	return t.listInterval(tuning.ListIntervalFactor)
}

// listInterval returns factor times the maximum lag of the cloud's list, but at least
// ListIntervalMin.
func (t *term) listInterval(factor float64) time.Duration {
	interval := seconds.Duration(t.node.config.Params.Cloud.ListLagS * factor)
	return max(tuning.ListIntervalMin, interval)
}
