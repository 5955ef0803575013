package store_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

func TestPositionsAreOrderedByEraThenVersion(t *testing.T) {
	ordered := []store.Position{
		0, store.At(0, 7), store.At(1, 0), store.At(1, 28), store.At(1, 1<<40), store.At(1, math.MaxInt64), store.At(2, 1), store.At(300, 24),
	}
	for i, p := range ordered[1:] {
		assert.Assert(t, ordered[i] < p, "%d and %d", ordered[i], p)
	}
	p := store.At(2, 24)
	assert.Equal(t, p.Era(), int64(2))
	assert.Equal(t, p.Version(), int64(24))
	assert.Equal(t, store.At(1, math.MaxInt64).Era(), int64(1))
	assert.Equal(t, int64(store.At(0, 7)), int64(7), "without eras a position is a version")
}
