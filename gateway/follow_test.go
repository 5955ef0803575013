package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryPause: in an outage of the store the few that read for all go on asking, the others ask less and less.
func TestRetryPause(t *testing.T) {
	for _, c := range []struct {
		first    bool
		failures int
		want     time.Duration
	}{
		{true, 1, storeRetry}, {true, 100, storeRetry},
		{false, 0, storeRetry}, {false, 1, storeRetry}, {false, 2, 2 * storeRetry}, {false, 3, 4 * storeRetry},
		{false, 4, maxStoreRetry}, {false, 1000, maxStoreRetry},
	} {
		assert.Equal(t, retryPause(c.first, c.failures), c.want, "%+v", c)
	}
	calls := 0
	for failures, at := 1, time.Duration(0); at < 8*time.Second; failures++ {
		calls++
		at += retryPause(false, failures)
	}
	assert.Assert(t, calls <= 8, "one a second in an outage of eight: %d", calls)
}
