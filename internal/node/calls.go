package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
	"switchshore.example/switchshore/internal/tuning"
	"switchshore.example/switchshore/wire"
)

// callCloud makes a call that provisions or releases machines, and retries it until it has a
// result or the term ends.
func (t *term) callCloud(ctx context.Context, call scaling.CloudCall) {
	for ctx.Err() == nil {
		machines, err := t.sendToCloud(ctx, call)
		if err == nil {
			t.recordCloudResult(call, machines)
			return
		}
		t.node.log.Debug().Err(err).Msg("cloud call to provision or release machines failed, retrying")
		if ctxtime.Sleep(ctx, tuning.CloudRetryDelay) != nil {
			return
		}
	}
}

// sendToCloud sends a call once. An error that rules out that machines were provisioned
// counts as a result without machines.
func (t *term) sendToCloud(ctx context.Context, call scaling.CloudCall) (machines []string, err error) {
	if call.Op != scaling.CloudProvision {
		return nil, t.node.cloud.Release(ctx, call.Release)
	}
	machines, err = t.node.cloud.Provision(ctx, call.Provision)
	if errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrInvalidRequest) {
		return nil, nil
	}
	return machines, err
}

// recordCloudResult passes the result of a cloud call to the leader's state.
func (t *term) recordCloudResult(call scaling.CloudCall, machines []string) {
	now := time.Now()
	t.node.mu.Lock()
	if call.Op == scaling.CloudProvision {
		t.state.FinishProvision(now, call.Provision, machines)
	} else {
		t.state.FinishRelease(now, call.Release)
	}
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
}

// callWorker makes a direct call to a worker and passes its outcome to the leader's state.
func (t *term) callWorker(ctx context.Context, call *leader.DirectCall) {
	var heartbeat wire.Heartbeat
	status, err := t.node.workerClients.Do(ctx, call.Addr, tuning.DirectTimeout, http.MethodPost, wire.PathCommands, call.Request, &heartbeat)
	outcome := directOutcome(status, err)
	t.node.mu.Lock()
	t.state.FinishDirectCall(time.Now(), call, outcome, &heartbeat)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
}

// directOutcome returns whether the commands of a direct call were delivered, given the status
// and error of the call.
func directOutcome(status int, err error) leader.DirectCallOutcome {
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return leader.DirectCallNotDelivered
	case err != nil || status != http.StatusOK && status != http.StatusConflict:
		return leader.DirectCallUncertain
	}
	return leader.DirectCallReplied
}
