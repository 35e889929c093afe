package ctxtime_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
)

// TestSleep checks that a sleep ends with its duration or its context, whichever is first.
func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name            string
		sleep, deadline time.Duration
		slept           time.Duration
		err             error
	}{
		{"duration", time.Second, time.Minute, time.Second, nil},
		{"context", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"zero duration", 0, time.Second, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
				defer cancel()
				start := time.Now()
				if err := ctxtime.Sleep(ctx, c.sleep); !errors.Is(err, c.err) {
					t.Errorf("error %v, want %v", err, c.err)
				}
				if slept := time.Since(start); slept != c.slept {
					t.Errorf("slept %v, want %v", slept, c.slept)
				}
			})
		})
	}
}
