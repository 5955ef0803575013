package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecovery checks when a class counts as recovered to its goodput before the fault.
func TestRecovery(t *testing.T) {
	p := Phases{Begin: 4 * time.Second, End: 6 * time.Second, Lookback: time.Second}
	for _, tc := range []struct {
		name                string
		good                []int
		before, after, back float64
	}{
		{"untouched", []int{9, 9, 9, 9, 9, 9, 9, 9, 9, 9}, 0.9, 0.9, 0},
		{"dip", []int{10, 10, 10, 10, 0, 0, 10, 10, 10, 10}, 1, 1, 2},
		{"dip by requests in progress", []int{10, 10, 10, 0, 10, 10, 10, 10, 10, 10}, 1, 1, 0},
		{"second dip", []int{10, 10, 10, 10, 0, 10, 10, 0, 10, 10}, 1, 0.75, -1},
		{"never", []int{10, 10, 10, 10, 0, 0, 0, 0, 0, 0}, 1, 0, -1},
	} {
		r := &Report{Classes: []ClassReport{{Class: "c"}}, Seconds: make(map[string][]Second)}
		for _, g := range tc.good {
			r.Seconds["c"] = append(r.Seconds["c"], Second{Offered: 10, Good: g})
		}
		l := r.ByPhase(tc.name, p).Lines[0]
		assert.Equal(t, l.Before, tc.before, tc.name)
		assert.Equal(t, *l.After, tc.after, tc.name)
		assert.Equal(t, *l.Recovery, tc.back, tc.name)
	}
}
