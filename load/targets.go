package load

import (
	"fmt"
	"io"
)

// Targets of a comparison. targetWastedRatio is relative to wasteBaseline, targetPeakGoodput
// to the best goodput at any load.
const (
	targetLoad        = 1.2
	targetLookups     = 0.95
	targetWasted      = 0.02
	targetWastedRatio = 0.1
	targetPeakGoodput = 0.95
	overload          = 1.5
	wasteBaseline     = "leastload"
)

// WriteTargets writes for each target whether the first variant meets it, by the means
// over the seeds. Targets without runs are skipped.
func (c *Comparison) WriteTargets(out io.Writer) {
	ours := c.Variants[0]
	line := func(ok bool, format string, args ...any) {
		verdict := "missed"
		if ok {
			verdict = "met"
		}
		fmt.Fprintf(out, "- %s: %s\n", verdict, fmt.Sprintf(format, args...))
	}
	fmt.Fprintf(out, "\n**Targets, for %s**\n\n", ours)
	lookups := Measure{Value: func(r *Report) float64 { return r.Class(Lookup.ID()).GoodShare }}
	if s := c.Spread(lookups, ours, targetLoad); s.hasValue() {
		line(s.Mean >= targetLookups, "lookups at 120 %%: %v good, at least %.2f wanted", s, targetLookups)
	}
	wasted := Measure{Value: func(r *Report) float64 { return r.wastedShare(Ruling.Model) }}
	if s := c.Spread(wasted, ours, targetLoad); s.hasValue() {
		line(s.Mean <= targetWasted, "wasted prefill of rulings at 120 %%: %v, at most %.2f wanted", s, targetWasted)
		if b := c.Spread(wasted, wasteBaseline, targetLoad); b.hasValue() {
			line(s.Mean <= targetWastedRatio*b.Mean, "it is at most a tenth of that of %s, %v", wasteBaseline, b)
		}
	}
	all := Measure{Value: (*Report).goodput}
	best := 0.0
	for _, l := range c.Loads {
		best = max(best, c.Spread(all, ours, l).Mean)
	}
	if s := c.Spread(all, ours, overload); s.hasValue() {
		line(s.Mean >= targetPeakGoodput*best, "goodput at 150 %%: %v a second, the best at any load is %.3f", s, best)
	}
}
