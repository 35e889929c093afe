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

// callCloud makes a call that provisions or releases machines, retries it until it has a result,
// and passes the result to the leader's state. It abandons the call when the term ends. It sends
// nothing while this node doesn't hold the lease, because the machines may be in use by a later
// leader.
func (t *term) callCloud(ctx context.Context, call scaling.CloudCall) {
	for ctx.Err() == nil {
		if t.waitForCloud(ctx) {
			machines, err := t.sendToCloud(ctx, call)
			if err == nil {
				t.recordCloudResult(call, machines)
				return
			}
			t.node.log.Debug().Err(err).Msg("cloud call to provision or release machines failed, retrying")
		}
		if ctxtime.Sleep(ctx, tuning.CloudRetryDelay) != nil {
			return
		}
	}
}

// waitForCloud waits until the rate limit allows another call to the cloud. It reports whether this node
// may send it: it held the lease before the wait, and still does.
func (t *term) waitForCloud(ctx context.Context) bool {
	return t.leadership.HoldsLease(time.Now()) && t.node.cloud.WaitForTurn(ctx) == nil && t.leadership.HoldsLease(time.Now())
}

// sendToCloud sends a call once and returns the machines that it provisioned. If an error proves
// that a provision call was not executed, sendToCloud returns no machines and no error, so that the
// call isn't retried.
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

// callAgent makes a direct call to an agent and passes its outcome to the leader's state.
func (t *term) callAgent(ctx context.Context, call *leader.DirectCall) {
	var heartbeat wire.Heartbeat
	status, err := t.node.agentClients.Do(ctx, call.Addr, tuning.DirectCallTimeout, http.MethodPost, wire.PathCommands, call.Request, &heartbeat)
	outcome := directOutcome(status, err)
	t.node.mu.Lock()
	t.state.FinishDirectCall(time.Now(), call, outcome, &heartbeat)
	t.node.mu.Unlock()
	signal(t.node.tickSignal)
}

// directOutcome derives from the status and error of a direct call whether its commands were
// delivered. 409 is also a reply of the agent.
func directOutcome(status int, err error) leader.DirectCallOutcome {
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return leader.DirectCallNotDelivered
	case err != nil || status != http.StatusOK && status != http.StatusConflict:
		return leader.DirectCallUncertain
	}
	return leader.DirectCallReplied
}
