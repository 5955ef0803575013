package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
)

// TestFor checks when For returns, and what it reports.
func TestFor(t *testing.T) {
	for _, c := range []struct {
		name       string
		d, timeout time.Duration
		want       bool
		took       time.Duration
	}{
		{"passed", time.Second, time.Minute, true, time.Second},
		{"context ended", time.Minute, time.Second, false, time.Second},
		{"nothing to wait for", 0, time.Second, true, 0},
		{"negative", -time.Second, time.Second, true, 0},
		{"ended before", time.Second, 0, false, 0},
		{"ended before, nothing to wait for", 0, 0, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			start := time.Now()
			assert.Equal(t, sleep.For(ctx, c.d), c.want, c.name)
			assert.Equal(t, time.Since(start), c.took, c.name)
		})
	}
}
