package bounded_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// TestConversionsStayInRange guards against numbers whose conversion differs from one kind of machine to another.
func TestConversionsStayInRange(t *testing.T) {
	for _, c := range []struct {
		n    float64
		want time.Duration
	}{
		{0, 0}, {1500, 1500 * time.Millisecond}, {0.25, 250 * time.Microsecond}, {-1500, -1500 * time.Millisecond},
		{math.NaN(), 0}, {math.Inf(1), bounded.MaxDuration}, {math.Inf(-1), -bounded.MaxDuration},
		{math.MaxFloat64, bounded.MaxDuration}, {-math.MaxFloat64, -bounded.MaxDuration}, {math.SmallestNonzeroFloat64, 0},
		{9223372036854, bounded.MaxDuration}, {9223372036855, bounded.MaxDuration},
	} {
		assert.Equal(t, bounded.Millis(c.n), c.want, "%g", c.n)
		assert.Equal(t, bounded.Seconds(c.n/1000), c.want, "%g", c.n)
		assert.Assert(t, bounded.Count(c.n) >= 0 && bounded.Count(c.n) <= bounded.MaxCount, "%g", c.n)
		assert.Assert(t, math.Abs(bounded.Balance(c.n)) <= bounded.MaxBytes && bounded.Amount(c.n) >= 0, "%g", c.n)
	}
	assert.Equal(t, bounded.Millis(int64(math.MaxInt64)), bounded.MaxDuration)
	assert.Equal(t, bounded.Millis(int64(math.MinInt64)), -bounded.MaxDuration)
	assert.Equal(t, bounded.Millis(uint64(math.MaxUint64)), bounded.MaxDuration)
	assert.Equal(t, bounded.Count(math.MaxInt64), bounded.MaxCount)
	assert.Equal(t, bounded.Count(math.MinInt64), 0)
	assert.Equal(t, bounded.Count(4711), 4711)
	assert.Equal(t, bounded.Amount(math.Inf(1)), 0.0)
	assert.Equal(t, bounded.Amount(math.MaxFloat64), float64(bounded.MaxBytes))
	assert.Equal(t, bounded.Bytes(math.MaxInt64), int64(bounded.MaxBytes))
	assert.Equal(t, bounded.Bytes(134e6), int64(134_000_000))
}
