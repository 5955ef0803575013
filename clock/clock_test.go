package clock_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/clock"
)

func TestUptimeIsMonotonic(t *testing.T) {
	first := clock.Uptime()
	assert.Assert(t, first > 0)
	assert.Assert(t, clock.Uptime() >= first)
}
