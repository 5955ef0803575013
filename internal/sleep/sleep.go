// Package sleep waits for a time or for the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d, and reports whether it passed before ctx ended. It does not wait if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
