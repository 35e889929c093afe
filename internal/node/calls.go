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

// callCloud carries one call that provisions or releases machines through to an answer.
func (t *term) callCloud(ctx context.Context, call scaling.CloudCall) {
	for ctx.Err() == nil {
		machines, err := t.sendToCloud(ctx, call)
		if err == nil {
			t.cloudCallDone(call, machines)
			return
		}
		t.node.log.Debug().Err(err).Msg("cloud call failed")
		if ctxtime.Sleep(ctx, tuning.CloudRetryDelay) != nil {
			return
		}
	}
}

// sendToCloud sends a call once. Machines that the cloud certainly does not provision
// are an answer, too: none.
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

// cloudCallDone tells the leader's state that a call was carried out.
func (t *term) cloudCallDone(call scaling.CloudCall, machines []string) {
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

// callWorker carries one direct call to a worker.
func (t *term) callWorker(ctx context.Context, call *leader.DirectCall) {
	var heartbeat wire.Heartbeat
	status, err := t.node.workers.Do(ctx, call.Addr, tuning.DirectTimeout, http.MethodPost, wire.PathCommands, call.Request, &heartbeat)
	outcome := directOutcome(status, err)
	t.node.mu.Lock()
	t.state.FinishDirectCall(time.Now(), call, outcome, &heartbeat)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
}

// directOutcome is what the answer to a direct call says of its commands.
func directOutcome(status int, err error) leader.DirectCallOutcome {
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return leader.DirectCallNotDelivered
	case err != nil || status != http.StatusOK && status != http.StatusConflict:
		return leader.DirectCallUncertain
	}
	return leader.DirectCallReplied
}
