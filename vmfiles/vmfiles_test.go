package vmfiles

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFor(t *testing.T) {
	for _, c := range []struct {
		max  int
		want Limits
	}{
		{4100, Limits{Callers: 1950, Processes: 487, Operators: 243}},
		{1000, Limits{Callers: 400, Processes: 100, Operators: 50}},
		{100, Limits{Callers: 16, Processes: 16, Operators: 16}},
	} {
		assert.DeepEqual(t, For(c.max), c.want)
	}
	assert.Check(t, For(0).Callers >= minConns)
}
