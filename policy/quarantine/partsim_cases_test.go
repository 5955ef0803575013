package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// crashingFrom and crashingUntil are the seconds between which crashing requests come.
const crashingFrom, crashingUntil = 10, 40

// within reports whether crashing requests come at this time.
func within(second, from, to float64) bool { return second >= from && second < to }

func noFailures(float64, *rand.Rand) int { return 0 }

// someFailures terminates a server every six seconds by chance, a third of nine at once at second 8, and all at second 25.
func someFailures(second float64, rng *rand.Rand) int {
	switch {
	case within(second, 8, 8+simStep.Seconds()/2):
		return 3
	case within(second, 25, 25+simStep.Seconds()/2):
		return 40
	case rng.Float64() < simStep.Seconds()/6:
		return 1
	default:
		return 0
	}
}

func placed(place int) func([]string, float64, *rand.Rand) []string {
	return func(sound []string, second float64, _ *rand.Rand) []string {
		if !within(second, crashingFrom, crashingUntil) {
			return nil
		}
		return slices.Insert(sound, place, "crashing")
	}
}

// simCases are loads in which one part, or two, crash servers from second 10 on, beside sound requests that share all others.
var simCases = []simCase{
	{name: "middle place", servers: 9, rate: 12, crashing: placed(1), crashingRate: 1.5, failures: noFailures, attempts: 1},
	{name: "first place", servers: 9, rate: 12, crashing: placed(0), crashingRate: 1.5, failures: noFailures, attempts: 1},
	{name: "repeated at other servers", servers: 9, rate: 12, crashing: placed(2), crashingRate: 1.5, failures: noFailures, attempts: 3},
	{name: "many servers", servers: 60, rate: 80, crashing: placed(1), crashingRate: 4, failures: noFailures, attempts: 2},
	{name: "many gateways", servers: 30, rate: 40, gateways: 40, crashing: placed(1), crashingRate: 3, failures: someFailures, attempts: 1},
	{name: "servers that also end by themselves", servers: 9, rate: 12, crashing: placed(1), crashingRate: 1.5, failures: someFailures, attempts: 2},
	{name: "gateways restart", servers: 9, rate: 12, crashing: placed(1), crashingRate: 1, failures: noFailures, attempts: 1, restarted: simGateways},
	{name: "two parts at once", servers: 9, rate: 12, crashingRate: 2, failures: noFailures, attempts: 1,
		crashing: func(sound []string, second float64, rng *rand.Rand) []string {
			if !within(second, crashingFrom, crashingUntil) {
				return nil
			}
			return slices.Insert(sound, 1, []string{"crashing", "crashing-2"}[rng.IntN(2)])
		}},
	{name: "two parts that always come together", servers: 9, rate: 12, crashingRate: 1.5, failures: noFailures, attempts: 1,
		crashing: func(sound []string, second float64, _ *rand.Rand) []string {
			if !within(second, crashingFrom, crashingUntil) {
				return nil
			}
			return []string{sound[0], "document-1", "crashing"}
		}},
	{name: "a part that was sound before", servers: 9, rate: 12, crashing: placed(1), crashingRate: 1.5, failures: noFailures, attempts: 1, soundBefore: true},
	{name: "servers end, no part does it", servers: 9, rate: 12, failures: someFailures, attempts: 3,
		crashing: func([]string, float64, *rand.Rand) []string { return nil }},
	{name: "few servers end all the time", servers: 4, rate: 6, attempts: 3,
		crashing: func([]string, float64, *rand.Rand) []string { return nil },
		failures: func(_ float64, rng *rand.Rand) int {
			if rng.Float64() < simStep.Seconds() {
				return 1
			}
			return 0
		}},
}

// simWays are the ways to decide on a part that were weighed; see docs/design/crashing-parts.md.
var simWays = []struct {
	name        string
	minEvidence float64
}{
	{"count", math.Inf(-1)},
	{"likelihood", minEvidence},
}

// TestSimulatedCrashingParts: over all seeds, requests with a part that crashes servers are sent at most three times from
// three seconds after the fifth termination on, and hardly any sound request is refused.
func TestSimulatedCrashingParts(t *testing.T) {
	const seeds, allowedSends = 3, 3
	for _, c := range simCases {
		t.Run(c.name, func(t *testing.T) {
			for _, way := range simWays {
				var crashes, late, over, wrong, refused, sound int
				for seed := range uint64(seeds) {
					r := c.play(seed, func() *Ledger {
						l := New()
						l.minEvidence = way.minEvidence
						return l
					})
					crashes, late, wrong, refused, sound = crashes+r.crashes, late+r.lateSends, wrong+r.wrongHolds, refused+r.refused, sound+r.sound
					if r.lateSends > allowedSends {
						over++
					}
				}
				t.Logf("%s: %.1f crashes a seed, %d late sends, %d seeds of %d over, %d wrong holds, %d of %d sound refused",
					way.name, float64(crashes)/seeds, late, over, seeds, wrong, refused, sound)
				if way.minEvidence != minEvidence {
					continue
				}
				assert.Check(t, over == 0, "%d seeds with more than %d late sends", over, allowedSends)
				assert.Check(t, 1000*refused <= sound, "%d of %d sound requests refused", refused, sound)
			}
		})
	}
}
