package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreRetryDelay: in an outage of the store the few store readers keep a constant retry delay, the other
// gateways back off.
func TestStoreRetryDelay(t *testing.T) {
	for _, c := range []struct {
		urgent   bool
		failures int
		want     time.Duration
	}{
		{true, 1, storeRetryDelay}, {true, 100, storeRetryDelay},
		{false, 0, storeRetryDelay}, {false, 1, storeRetryDelay}, {false, 2, 2 * storeRetryDelay}, {false, 3, 4 * storeRetryDelay},
		{false, 4, maxStoreRetryDelay}, {false, 1000, maxStoreRetryDelay},
	} {
		assert.Equal(t, retryDelay(c.urgent, c.failures), c.want, "%+v", c)
	}
	calls := 0
	for failures, at := 1, time.Duration(0); at < 8*time.Second; failures++ {
		calls++
		at += retryDelay(false, failures)
	}
	assert.Assert(t, calls <= 8, "at most one call a second in an outage of eight seconds: %d", calls)
}
