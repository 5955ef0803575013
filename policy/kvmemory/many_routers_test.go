package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// TestMarginAtManyRouters replays bursts of twice the mean with the margin of two deviations alone, and with
// what is kept for growth: more are answered in time, fewer are turned away for good, and no more are preempted.
func TestMarginAtManyRouters(t *testing.T) {
	for seed := range uint64(2) {
		s := shortPrompts(30, 38)
		s.seed = seed
		two := kvmemory.DefaultConfig()
		two.Margin = kvmemory.Margin{Deviations: 2}
		before, after := newCrowd(s, two).play(), newCrowd(s, kvmemory.DefaultConfig()).play()
		before.log(t, "two deviations")
		after.log(t, "default")
		was, is := tallyOf(before.all), tallyOf(after.all)
		assert.Check(t, is.worth > was.worth)
		assert.Check(t, is.refused < was.refused)
		assert.Check(t, after.preempted <= before.preempted)
	}
}

// TestHopelessByTheShareOfAll replays bursts with requests turned away at once by what a router itself has placed,
// and by its share of what all have. With eight runs a router the first is off by a third, and turns requests
// away that would have been placed.
func TestHopelessByTheShareOfAll(t *testing.T) {
	byOwn := func(p *kvmemory.Pool, now time.Time) float64 {
		sum := 0
		for _, s := range p.OwnLoads(now) {
			sum += s.Tokens
		}
		return float64(sum)
	}
	byShare := func(p *kvmemory.Pool, _ time.Time) float64 { return p.TokensPerRouter() }
	own, share, worth := 0, 0, 0.0
	for seed := range uint64(3) {
		s := shortPrompts(30, 38)
		s.seed = seed
		before, after := newCrowd(s, kvmemory.DefaultConfig()), newCrowd(s, kvmemory.DefaultConfig())
		before.frees, after.frees = byOwn, byShare
		before.play().log(t, "by own")
		after.play().log(t, "by share")
		own, share = own+before.atOnce, share+after.atOnce
		worth += tallyOf(after.all).worth - tallyOf(before.all).worth
	}
	t.Logf("turned away at once: %d by own, %d by share", own, share)
	assert.Check(t, share < own)
	assert.Check(t, worth >= 0, "nobody is served worse")
}

// TestCrowdedEnginesAreLeft replays bursts at 40 routers whose runs stay where their memory was granted, and leave
// engines that others chose in the same moment.
func TestCrowdedEnginesAreLeft(t *testing.T) {
	s := shortPrompts(40, 50)
	before, after := newCrowd(s, kvmemory.DefaultConfig()), newCrowd(s, kvmemory.DefaultConfig())
	after.leaves = true
	before.play().log(t, "stay")
	after.play().log(t, "leave")
	assert.Check(t, 2*after.preempted <= before.preempted)
	assert.Check(t, tallyOf(after.all).worth > tallyOf(before.all).worth)
}

// TestSilenceMeansThatRunsGoOn replays bursts at 40 routers that report once a second. Read as made for runs that may
// have ended unheard, what others told a second ago leaves a part of their memory out. Read as of runs that go
// on, half as many are preempted at most, and nearly as much is earned as if everything were known exactly.
func TestSilenceMeansThatRunsGoOn(t *testing.T) {
	unheard := func(l *kvmemory.Load, age time.Duration) kvmemory.Load {
		return kvmemory.Load{Tokens: l.Tokens, Runs: l.Runs, Forecast: l.Forecast.Aged(age)}
	}
	goingOn := func(l *kvmemory.Load, age time.Duration) kvmemory.Load {
		return kvmemory.Load{Tokens: l.Tokens, Runs: l.Runs, Forecast: l.Forecast.AgedStillRunning(age, l.Runs)}
	}
	replay := func(name string, a *ages) *crowd {
		c := newCrowd(shortPrompts(40, 50), kvmemory.DefaultConfig())
		c.leaves, c.ages = true, a
		c.play().log(t, name)
		return c
	}
	exact := replay("known exactly", nil)
	before := replay("may have ended", &ages{pace: time.Second, age: unheard})
	after := replay("go on", &ages{pace: time.Second, age: goingOn})
	assert.Check(t, 2*after.preempted <= before.preempted)
	assert.Check(t, 2*after.refused <= before.refused)
	assert.Check(t, tallyOf(after.all).worth > tallyOf(before.all).worth)
	assert.Check(t, tallyOf(after.all).worth > tallyOf(exact.all).worth-0.01)
}

// TestLongPromptsAreServed replays prompts of a tenth to nine tenths of an engine's memory before engines that are
// asked for half as much again as they bear: what has to be turned away is spread over sizes, and no fifth of a
// kind is served less than 0.8 as often as the kind.
func TestLongPromptsAreServed(t *testing.T) {
	const fair = 0.8
	c := newCrowd(longPrompts(), kvmemory.DefaultConfig())
	c.leaves = true
	c.play().log(t, "long prompts")
	for _, k := range c.kinds {
		fifths := c.fifths(k.name)
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
