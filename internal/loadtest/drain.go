package loadtest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
	"switchshore.example/switchshore/internal/drain"
	"switchshore.example/switchshore/internal/peer"
)

// DrainTiming is how long a drain took, and for what it waited.
type DrainTiming struct {
	Total time.Duration
	// Waits are the times by the reason in the drain's status.
	Waits  map[string]time.Duration
	Status drain.Status
}

// ErrNotDrained is returned for a drain that did not end in time.
var ErrNotDrained = errors.New("the drain has not ended")

// RefusedError is returned for an operator's request that a controller refused.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

const (
	// pollInterval is how often a drain's status is requested.
	pollInterval = 250 * time.Millisecond
	// operatorTimeout bounds one request.
	operatorTimeout = 2 * time.Second
	// maxDrainTime bounds a measurement.
	maxDrainTime = 10 * time.Minute
)

// sendOperatorRequest sends an operator's request to the controllers, one after the other, until one
// has executed or refused it.
func (c *Cluster) sendOperatorRequest(ctx context.Context, request *drain.Request) (drain.Status, error) {
	for attempt := 0; ; attempt++ {
		response, err := requestDrain(ctx, c.peerAddrs[attempt%nodeCount], request)
		switch {
		case err != nil:
			// Another controller may answer.
		case isSuccess(response.Status) && len(response.Drains) == 1:
			return response.Drains[0], nil
		case isClientError(response.Status):
			return drain.Status{}, &RefusedError{response.Status, response.Reason}
		}
		if err := ctxtime.Sleep(ctx, pollInterval); err != nil {
			return drain.Status{}, err
		}
	}
}

// requestDrain sends an operator's request to one controller.
func requestDrain(ctx context.Context, addr string, request *drain.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return peer.Request(ctx, addr, peer.Call{Op: peer.OpDrain, Drain: request})
}

// Drain applies a drain and follows it to its end.
func (c *Cluster) Drain(ctx context.Context, spec *drain.Spec) (*DrainTiming, error) {
	ctx, cancel := context.WithTimeout(ctx, maxDrainTime)
	defer cancel()
	if _, err := c.sendOperatorRequest(ctx, &drain.Request{Action: drain.Apply, Name: spec.Name, Spec: spec}); err != nil {
		return nil, err
	}
	return c.followDrain(ctx, spec.Name)
}

// followDrain polls a drain's status until it is done.
func (c *Cluster) followDrain(ctx context.Context, name string) (*DrainTiming, error) {
	started := time.Now()
	timing := &DrainTiming{Waits: map[string]time.Duration{}}
	for last := started; ; {
		status, err := c.sendOperatorRequest(ctx, &drain.Request{Action: drain.Show, Name: name})
		if err != nil {
			return timing, fmt.Errorf("%w: %w", ErrNotDrained, err)
		}
		now := time.Now()
		if status.Reason != "" {
			timing.Waits[status.Reason] += now.Sub(last)
		}
		last = now
		timing.Total, timing.Status = now.Sub(started), status
		if status.State == drain.Done {
			return timing, nil
		}
		if err := ctxtime.Sleep(ctx, pollInterval); err != nil {
			return timing, fmt.Errorf("%w: %w", ErrNotDrained, err)
		}
	}
}
