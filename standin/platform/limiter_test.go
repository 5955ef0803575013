package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimiter(t *testing.T) {
	t0 := time.Unix(1000, 0)
	ms := time.Millisecond
	l := newLimiter(100, 20*ms) // one token per 10 ms, with a burst of ten
	steps := []struct {
		at   time.Duration
		n    int
		wait time.Duration
		ok   bool
	}{
		{0, 10, 0, true},
		{0, 1, 10 * ms, true},
		{0, 1, 20 * ms, true},
		{0, 1, 0, false},
		{10 * ms, 1, 20 * ms, true},
		{time.Hour, 11, 10 * ms, true},
		{time.Hour, 2, 0, false},
	}
	for i, s := range steps {
		wait, ok := l.reserve(t0.Add(s.at), s.n)
		assert.Equal(t, ok, s.ok, "step %d", i)
		assert.Equal(t, wait, s.wait, "step %d", i)
	}
	_, ok := newLimiter(0, 0).reserve(t0, 1<<30)
	assert.Assert(t, ok)
}
