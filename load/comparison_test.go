package load

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestComparisonAgainstBestBaseline checks the ratio, paired by seed, to the baseline with
// the best mean.
func TestComparisonAgainstBestBaseline(t *testing.T) {
	c := &Comparison{Variants: []string{"ours", "a", "b"}, Baselines: []string{"a", "b"}, Loads: []float64{1}, Seeds: []uint64{1, 2}}
	add := func(name string, seed uint64, good float64, done, wasted int) {
		c.Reports = append(c.Reports, &Report{
			Name: name, Seed: seed, Load: 1,
			Classes: []ClassReport{{Class: "x/y", GoodShare: good, Goodput: 10 * good}},
			Prefill: []PrefillReport{{Group: "m", Done: done, Wasted: wasted}},
		})
	}
	add("ours", 1, 0.9, 100, 1)
	add("ours", 2, 0.8, 100, 3)
	add("a", 1, 0.6, 100, 10)
	add("a", 2, 0.4, 100, 10)
	add("b", 1, 0.3, 100, 5)
	add("b", 2, 0.5, 100, 5)
	good, wasted := c.Measures()[0], c.Measures()[2]
	assert.Equal(t, c.Best(good, 1), "a")
	assert.Equal(t, c.Best(wasted, 1), "b")
	assert.Equal(t, c.Ratio(good, "a", 1).String(), "1.750 [1.500, 2.000]")
	assert.Equal(t, c.Ratio(wasted, "b", 1).String(), "0.400 [0.200, 0.600]")
	var page bytes.Buffer
	assert.NilError(t, c.WriteHTML(&page))
	assert.Assert(t, strings.Count(page.String(), "<svg") == 3 && !strings.Contains(page.String(), "src="))
	assert.NilError(t, c.WriteTable(&page))
}

// TestTargetsUseMeans checks each target with figures that meet it and figures that miss
// it.
func TestTargetsUseMeans(t *testing.T) {
	for _, tc := range []struct {
		lookups, wasted, past float64
		met                   int
	}{{0.96, 0.01, 10, 4}, {0.94, 0.03, 9, 0}} {
		c := &Comparison{Variants: []string{"policy", wasteBaseline}, Baselines: []string{wasteBaseline}, Loads: []float64{1.2, 1.5}, Seeds: []uint64{1}}
		add := func(name string, load, wasted, goodput float64) {
			c.Reports = append(c.Reports, &Report{
				Name: name, Seed: 1, Load: load,
				Classes: []ClassReport{{Class: Lookup.ID(), GoodShare: tc.lookups, Goodput: goodput}},
				Prefill: []PrefillReport{{Group: Ruling.Model, Done: 1000, Wasted: int(1000 * wasted)}},
			})
		}
		add("policy", 1.2, tc.wasted, 10)
		add("policy", 1.5, tc.wasted, tc.past)
		add(wasteBaseline, 1.2, 0.2, 1)
		var out bytes.Buffer
		c.WriteTargets(&out)
		assert.Equal(t, strings.Count(out.String(), "- met"), tc.met, out.String())
		assert.Equal(t, strings.Count(out.String(), "- missed"), 4-tc.met, out.String())
	}
}
