package eligibility

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

// condition returns a condition with a reason that ends after a time, or has no known end if that is zero.
func condition(r Reason, left time.Duration) Condition {
	c := Condition{Reason: r, Share: 0.5, Cost: 3}
	if left != 0 {
		c.Until = now.Add(left)
	}
	return c
}

// TestPrecedence checks the table of reasons: which one decides for each pair with the same end, in both orders, and
// that the reasons are ordered by effect.
func TestPrecedence(t *testing.T) {
	reasons := Reasons()
	assert.Equal(t, fmt.Sprint(reasons), "[leaving cooldown rate_limit invalid_entry address_reused stage_change down unresponsive export_lost unhealthy "+
		"overload ejected suspected failing]")
	for i, first := range reasons {
		for _, second := range reasons[i:] {
			assert.Assert(t, first.Effect() <= second.Effect(), "%s, %s", first, second)
			for _, left := range []time.Duration{0, time.Second} {
				a, b := condition(first, left), condition(second, left)
				v, reverse := Decide([]Condition{a, b}, now), Decide([]Condition{b, a}, now)
				assert.Equal(t, v.Reason, first, "%s and %s", first, second)
				assert.Equal(t, v, reverse, "%s and %s", first, second)
			}
		}
	}
}

// TestPageNamesReasons checks that the page for operators explains each reason.
func TestPageNamesReasons(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, r := range Reasons() {
		assert.Assert(t, strings.Contains(string(page), "`"+r.String()+"`"), "%s", r)
	}
}

// TestLastEndDecides checks, for each pair of reasons that exclude a server, that the one that ends last decides, and
// that one without a known end does so before all others.
func TestLastEndDecides(t *testing.T) {
	for _, a := range Reasons() {
		for _, b := range Reasons() {
			if a == b || a.Effect() != Excluded || b.Effect() != Excluded {
				continue
			}
			for _, c := range []struct {
				first, second time.Duration
				want          Reason
				wait          time.Duration
			}{
				{time.Second, 2 * time.Second, b, 2 * time.Second},
				{2 * time.Second, time.Second, a, 2 * time.Second},
				{0, time.Hour, a, forever},
				{time.Hour, 0, b, forever},
			} {
				list := []Condition{condition(a, c.first), condition(b, c.second)}
				for range 2 {
					v := Decide(list, now)
					assert.Equal(t, v.Reason, c.want, "%s for %s, %s for %s", a, c.first, b, c.second)
					assert.Assert(t, v.Excluded)
					assert.Equal(t, v.Wait(now), c.wait, "%s, %s", a, b)
					slices.Reverse(list)
				}
			}
		}
	}
}

// TestEffectsCombine checks what several conditions of different effects do together.
func TestEffectsCombine(t *testing.T) {
	for _, c := range []struct {
		name       string
		conditions []Condition
		want       Verdict
	}{
		{"none", nil, Verdict{Share: 1}},
		{"excluded and failing", []Condition{condition(Failing, 0), condition(Cooldown, time.Second)},
			Verdict{Reason: Cooldown, Excluded: true, Until: now.Add(time.Second), Share: 1, Cost: 3}},
		{"ejected, suspected, failing", []Condition{condition(Failing, 0), condition(Suspected, time.Second), condition(Ejected, time.Second)},
			Verdict{Reason: Ejected, Share: 1, LastResort: true, Cost: 3}},
		{"the lower share", []Condition{{Reason: Overload, Share: 0.7}, {Reason: Overload, Share: 0.4}}, Verdict{Reason: Overload, Share: 0.4}},
		{"costs add up", []Condition{condition(Failing, 0), condition(Failing, 0)}, Verdict{Reason: Failing, Share: 1, Cost: 6}},
		{"over", []Condition{condition(Cooldown, -time.Second), condition(Suspected, -1)}, Verdict{Share: 1}},
	} {
		assert.Equal(t, Decide(c.conditions, now), c.want, c.name)
	}
}

// TestNothingOutlastsItsEnd draws conditions and checks that the verdict at each time is that of those that have not
// ended, that a server is excluded exactly while one of them excludes it, and that the end of the verdict is right.
func TestNothingOutlastsItsEnd(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		list := drawConditions(rng)
		at := now.Add(time.Duration(rng.IntN(6)) * time.Second)
		left := slices.DeleteFunc(slices.Clone(list), func(c Condition) bool { return c.Over(at) })
		v := Decide(list, at)
		assert.Equal(t, v, Decide(left, at))
		excludes := slices.ContainsFunc(left, func(c Condition) bool { return c.Reason.Effect() == Excluded })
		assert.Equal(t, v.Excluded, excludes, "%v", list)
		if v.Excluded && !v.Until.IsZero() {
			before, after := Decide(list, v.Until.Add(-1)), Decide(list, v.Until)
			assert.Assert(t, before.Excluded && !after.Excluded, "%v", list)
		}
		rng.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
		assert.Equal(t, Decide(list, at), v, "the order of the conditions does not matter")
	}
}

func drawConditions(rng *rand.Rand) []Condition {
	list := make([]Condition, rng.IntN(5))
	for i := range list {
		list[i] = condition(Reasons()[rng.IntN(len(Reasons()))], time.Duration(rng.IntN(6))*time.Second)
	}
	return list
}

// TestServerIsFound draws the conditions of some servers and checks that one is chosen whenever one may be asked, and
// that it is a last resort only if all are.
func TestServerIsFound(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 20_000 {
		var best *Verdict
		bestCost := 0.0
		eligible, preferred := 0, 0
		for range 1 + rng.IntN(4) {
			v, cost := Decide(drawConditions(rng), now), float64(rng.IntN(9))
			if v.Excluded {
				continue
			}
			eligible++
			if !v.LastResort {
				preferred++
			}
			if best == nil || v.Precedes(best, cost < bestCost) {
				best, bestCost = &v, cost
			}
		}
		assert.Equal(t, best != nil, eligible > 0)
		assert.Assert(t, best == nil || best.LastResort == (preferred == 0))
	}
}

// TestVerdictsAreOrdered checks the order of two servers that may be asked.
func TestVerdictsAreOrdered(t *testing.T) {
	healthy, failing, last := NewVerdict(), Decide([]Condition{condition(Failing, 0)}, now), Decide([]Condition{condition(Ejected, 0)}, now)
	for _, c := range []struct {
		name         string
		a, b         Verdict
		better, want bool
	}{
		{"better", healthy, healthy, true, true},
		{"not better", healthy, healthy, false, false},
		{"better though failing, its cost included", failing, healthy, true, true},
		{"a last resort is not, however cheap", last, healthy, true, false},
		{"before a last resort, at any cost", healthy, last, false, true},
		{"failing before a last resort", failing, last, false, true},
		{"the better last resort", last, last, true, true},
		{"the worse last resort", last, last, false, false},
	} {
		assert.Equal(t, c.a.Precedes(&c.b, c.better), c.want, c.name)
	}
}
