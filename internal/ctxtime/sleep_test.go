package ctxtime_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"switchshore.example/switchshore/internal/ctxtime"
)

// TestSleep checks that a sleep ends after its duration or when its context ends, whichever is first.
func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name            string
		sleep, deadline time.Duration // of the sleep and of its context
		wantSlept       time.Duration
		wantErr         error
	}{
		{"duration", time.Second, time.Minute, time.Second, nil},
		{"context", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"zero duration", 0, time.Second, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
				defer cancel()
				startedAt := time.Now()
				if err := ctxtime.Sleep(ctx, c.sleep); !errors.Is(err, c.wantErr) {
					t.Errorf("error %v, want %v", err, c.wantErr)
				}
				if slept := time.Since(startedAt); slept != c.wantSlept {
					t.Errorf("slept %v, want %v", slept, c.wantSlept)
				}
			})
		})
	}
}
