package decay_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/decay"
)

// TestRate: a steady rate is found, decays by the time constant, and a time before the latest event changes nothing.
func TestRate(t *testing.T) {
	const timeConstant = 50 * time.Millisecond
	now := time.Unix(0, 0)
	var r decay.Rate
	assert.Equal(t, r.PerSecond(now, timeConstant), 0.0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		r.Add(3, now, timeConstant)
	}
	steady := r.PerSecond(now, timeConstant)
	assert.Assert(t, math.Abs(steady-3000) < 60, "%v", steady)
	later := r.PerSecond(now.Add(timeConstant), timeConstant)
	assert.Assert(t, math.Abs(later-steady/math.E) < 1e-6, "%v", later)
	assert.Equal(t, r.PerSecond(now.Add(-time.Second), timeConstant), steady)
}
