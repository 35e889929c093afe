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

// DrainTiming is the duration of a drain and of its waits.
type DrainTiming struct {
	Total time.Duration
	// Waits is the time spent waiting for each reason in the drain's status.
	Waits  map[string]time.Duration
	Status drain.Status
}

// ErrNotDrained is returned if a drain is not done within maxDrainTime.
var ErrNotDrained = errors.New("the drain has not ended")

// RefusedError is returned if a controller refuses an operator's request.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

const (
	// pollInterval is the time between two requests for a drain's status.
	pollInterval = 250 * time.Millisecond
	// operatorTimeout bounds one request of an operator to one controller.
	operatorTimeout = 2 * time.Second
	// maxDrainTime bounds a whole drain.
	maxDrainTime = 10 * time.Minute
)

// sendOperatorRequest sends an operator's request to one controller after the other until one executes
// or refuses it, or the context ends.
func (c *Cluster) sendOperatorRequest(ctx context.Context, request *drain.Request) (drain.Status, error) {
	for attempt := 0; ; attempt++ {
		response, err := requestDrain(ctx, c.peerAddrs[attempt%nodeCount], request)
		switch {
		case err != nil:
			// No response: retry at the next controller.
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

// requestDrain sends an operator's drain request to one controller.
func requestDrain(ctx context.Context, addr string, request *drain.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return peer.Request(ctx, addr, peer.Call{Op: peer.OpDrain, Drain: request})
}

// Drain applies a drain and waits until it is done.
func (c *Cluster) Drain(ctx context.Context, spec *drain.Spec) (*DrainTiming, error) {
	ctx, cancel := context.WithTimeout(ctx, maxDrainTime)
	defer cancel()
	if _, err := c.sendOperatorRequest(ctx, &drain.Request{Action: drain.Apply, Name: spec.Name, Spec: spec}); err != nil {
		return nil, err
	}
	return c.followDrain(ctx, spec.Name)
}

// followDrain polls a drain's status until the drain is done, and sums up the waits.
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
