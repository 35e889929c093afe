// Package ctxtime has waits that end early with their context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends: then it returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
