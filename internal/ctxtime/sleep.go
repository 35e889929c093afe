// Package ctxtime provides waits that a context can end early.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If the context ends first, it returns the context's error.
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
