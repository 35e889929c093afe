package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/cloud"
	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/httpclient"
	"switchshore.example/switchshore/internal/httpclient/loopback"
	"switchshore.example/switchshore/internal/leader"
	"switchshore.example/switchshore/internal/scaling"
)

// TestCloudIsNotCalledWithoutLease guards against a release of machines that a later leader uses: a release
// call is not sent, or repeated, while this node doesn't hold the lease.
func TestCloudIsNotCalledWithoutLease(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		renewed time.Time
		calls   int32
	}{
		"holds the lease": {renewed: now.Add(time.Hour), calls: 1},
		"lease expired":   {renewed: now.Add(-time.Minute), calls: 0},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := loopback.Serve(t, func(*fasthttp.RequestCtx) { calls.Add(1) })
			n := newTestNode()
			n.becomeLeader(c.renewed)
			n.cloud, n.log = cloud.NewClient(addr, config.CloudLimits{RPS: 100}), zerolog.Nop()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if c.calls == 0 {
				// The call must wait for the lease, so it ends with its context.
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			call := &term{node: n, state: n.leader, leadership: n.leadership}
			call.callCloud(ctx, scaling.CloudCall{Op: scaling.CloudRelease, Release: []string{"m1"}})
			if got := calls.Load(); got != c.calls {
				t.Errorf("%d calls to the cloud, want %d", got, c.calls)
			}
		})
	}
}

// TestCloudIsNotCalledIfTheLeaseEndsDuringTheWait guards against calls of a former leader that waited for the
// cloud's rate limit when its successor was elected.
func TestCloudIsNotCalledIfTheLeaseEndsDuringTheWait(t *testing.T) {
	var calls atomic.Int32
	addr := loopback.Serve(t, func(*fasthttp.RequestCtx) { calls.Add(1) })
	n := newTestNode()
	n.becomeLeader(time.Now().Add(time.Hour))
	n.cloud, n.log = cloud.NewClient(addr, config.CloudLimits{RPS: 2}), zerolog.Nop() // about a call in 0.6 s
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := n.cloud.WaitForTurn(ctx); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, n.leadership.Revoke)
	call := &term{node: n, state: n.leader, leadership: n.leadership}
	call.callCloud(ctx, scaling.CloudCall{Op: scaling.CloudRelease, Release: []string{"m1"}})
	if got := calls.Load(); got != 0 {
		t.Errorf("%d calls to the cloud after the lease has ended, want none", got)
	}
}

// TestDirectOutcome checks that commands count as not delivered only if the call was not sent.
func TestDirectOutcome(t *testing.T) {
	for _, c := range []struct {
		status int
		err    error
		want   leader.DirectCallOutcome
	}{
		{http.StatusOK, nil, leader.DirectCallReplied},
		{http.StatusConflict, nil, leader.DirectCallReplied},
		{http.StatusServiceUnavailable, nil, leader.DirectCallUncertain},
		{http.StatusNotFound, nil, leader.DirectCallUncertain},
		{0, httpclient.ErrNoResponse, leader.DirectCallUncertain},
		{http.StatusOK, errors.New("malformed"), leader.DirectCallUncertain},
		{0, fmt.Errorf("call: %w", httpclient.ErrNotSent), leader.DirectCallNotDelivered},
	} {
		if got := directOutcome(c.status, c.err); got != c.want {
			t.Errorf("status %d, error %v: outcome %v, want %v", c.status, c.err, got, c.want)
		}
	}
}
