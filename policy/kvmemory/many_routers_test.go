package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// TestMarginAtManyRouters replays bursts of twice the mean with a margin of two deviations only and
// with the default margin, which includes growth: the default reaches a higher value, with fewer
// requests rejected for good and no more preempted.
func TestMarginAtManyRouters(t *testing.T) {
	for seed := range uint64(2) {
		s := shortPrompts(30, 38)
		s.seed = seed
		two := kvmemory.DefaultConfig()
		two.Margin = kvmemory.Margin{Deviations: 2}
		before, after := newSimulation(s, two).simulate(), newSimulation(s, kvmemory.DefaultConfig()).simulate()
		before.log(t, "two deviations")
		after.log(t, "default")
		baseline, got := sharesOf(before.all), sharesOf(after.all)
		assert.Check(t, got.value > baseline.value)
		assert.Check(t, got.rejected < baseline.rejected)
		assert.Check(t, after.preempted <= before.preempted)
	}
}

// TestMarginWithYields replays the same bursts over more seeds, with runs that leave saturated engines,
// as routers do: without that, nine of ten preempted runs follow from placements of two routers within
// the time of a report, under any margin. In the sum, the default margin has to do no worse than two
// deviations in value, in rejections and in preempted runs.
func TestMarginWithYields(t *testing.T) {
	const seeds = 8
	replay := func(name string, margin kvmemory.Margin) (all []*simRequest, preempted int) {
		for seed := range uint64(seeds) {
			d := shortPrompts(30, 38)
			d.seed = seed
			cfg := kvmemory.DefaultConfig()
			cfg.Margin = margin
			s := newSimulation(d, cfg)
			s.leaveSaturated = true
			s.simulate()
			all, preempted = append(all, s.all...), preempted+s.preempted
		}
		shares := sharesOf(all)
		t.Logf("%s: in time %.3f, rejected %.3f, value %.3f, preempted %d of %d", name, shares.inTime, shares.rejected, shares.value, preempted, len(all))
		return all, preempted
	}
	two, twoPreempted := replay("two deviations", kvmemory.Margin{Deviations: 2})
	got, gotPreempted := replay("default", kvmemory.DefaultMargin())
	assert.Check(t, sharesOf(got).value > sharesOf(two).value)
	assert.Check(t, sharesOf(got).rejected < sharesOf(two).rejected)
	assert.Check(t, gotPreempted <= twoPreempted)
}

// TestImmediateRejectionByMeanLoadPerRouter replays bursts with requests rejected immediately,
// based on the router's own load or on the mean load per router. With eight runs per router the
// first estimate is off by a third, and rejects requests that would have been placed.
func TestImmediateRejectionByMeanLoadPerRouter(t *testing.T) {
	byOwn := func(p *kvmemory.Pool, now time.Time) float64 {
		sum := 0
		for _, s := range p.OwnLoads(now) {
			sum += s.Tokens
		}
		return float64(sum)
	}
	byMean := func(p *kvmemory.Pool, _ time.Time) float64 { return p.TokensPerRouter() }
	own, mean, value := 0, 0, 0.0
	for seed := range uint64(3) {
		s := shortPrompts(30, 38)
		s.seed = seed
		before, after := newSimulation(s, kvmemory.DefaultConfig()), newSimulation(s, kvmemory.DefaultConfig())
		before.expectedFree, after.expectedFree = byOwn, byMean
		before.simulate().log(t, "by own load")
		after.simulate().log(t, "by mean load")
		own, mean = own+before.rejectedAtOnce, mean+after.rejectedAtOnce
		value += sharesOf(after.all).value - sharesOf(before.all).value
	}
	t.Logf("rejected immediately: %d by own load, %d by mean load", own, mean)
	assert.Check(t, mean < own)
	assert.Check(t, value >= 0, "the total value does not decrease")
}

// TestRunsLeaveSaturatedEngines replays bursts at 40 routers with runs that stay where their memory
// was granted, and with runs that leave engines that other routers chose at the same time.
func TestRunsLeaveSaturatedEngines(t *testing.T) {
	s := shortPrompts(40, 50)
	before, after := newSimulation(s, kvmemory.DefaultConfig()), newSimulation(s, kvmemory.DefaultConfig())
	after.leaveSaturated = true
	before.simulate().log(t, "stay")
	after.simulate().log(t, "leave")
	assert.Check(t, 2*after.preempted <= before.preempted)
	assert.Check(t, sharesOf(after.all).value > sharesOf(before.all).value)
}

// TestUnreportedRunsAreStillRunning replays bursts at 40 routers that report once a second. If
// peers' runs may have ended without a report, a part of the memory in a report of a second ago is
// left out. If they count as still running, at most half as many are preempted, and the value is
// nearly that with exact knowledge of all loads.
func TestUnreportedRunsAreStillRunning(t *testing.T) {
	mayHaveEnded := func(l *kvmemory.Load, age time.Duration) kvmemory.Load {
		return kvmemory.Load{Tokens: l.Tokens, Runs: l.Runs, Forecast: l.Forecast.Aged(age)}
	}
	stillRunning := func(l *kvmemory.Load, age time.Duration) kvmemory.Load {
		return kvmemory.Load{Tokens: l.Tokens, Runs: l.Runs, Forecast: l.Forecast.AgedStillRunning(age, l.Runs)}
	}
	replay := func(name string, reports *periodicReports) *simulation {
		s := newSimulation(shortPrompts(40, 50), kvmemory.DefaultConfig())
		s.leaveSaturated, s.reports = true, reports
		s.simulate().log(t, name)
		return s
	}
	exact := replay("known exactly", nil)
	before := replay("may have ended", &periodicReports{interval: time.Second, adjust: mayHaveEnded})
	after := replay("still running", &periodicReports{interval: time.Second, adjust: stillRunning})
	assert.Check(t, 2*after.preempted <= before.preempted)
	assert.Check(t, 2*after.refusals <= before.refusals)
	assert.Check(t, sharesOf(after.all).value > sharesOf(before.all).value)
	assert.Check(t, sharesOf(after.all).value > sharesOf(exact.all).value-0.01)
}

// TestLongPromptsAreServed replays prompts of a tenth to nine tenths of an engine's memory at a
// demand of half as much again as the engines' capacity. Rejections have to be spread over prompt
// sizes: no fifth of a kind may be served less than 0.8 as often as the kind.
func TestLongPromptsAreServed(t *testing.T) {
	const fair = 0.8
	s := newSimulation(longPrompts(), kvmemory.DefaultConfig())
	s.leaveSaturated = true
	s.simulate().log(t, "long prompts")
	for _, k := range s.kinds {
		fifths := s.fifths(k.name)
		served := 0.0
		for _, f := range fifths {
			served += f.served / float64(len(fifths))
		}
		t.Logf("%s: served %.2f, by fifths of their size %.2f", k.name, served, fifths)
		for i, f := range fifths {
			assert.Check(t, f.served >= fair*served, "%s, fifth %d: %.2f of %.2f", k.name, i+1, f.served, served)
		}
	}
}
