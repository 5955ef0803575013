package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// only returns the default weights with some changed.
func only(change func(c *kvmemory.PaceConfig)) kvmemory.PaceConfig {
	c := kvmemory.DefaultPace()
	change(&c)
	return c
}

// TestEnginesOfThreeSpeeds replays bursts on engines in three classes of speed with several scores,
// and with an oracle that knows each run's length and each engine's speed. Without regard to speed,
// long runs on slow engines reach their deadline.
func TestEnginesOfThreeSpeeds(t *testing.T) {
	const seeds = 6
	results := map[string]*speedResult{}
	for _, c := range []struct {
		name   string
		pace   kvmemory.PaceConfig
		oracle bool
	}{
		{"as before", kvmemory.PaceConfig{}, false},
		{"forecast only", only(func(c *kvmemory.PaceConfig) { c.MaxMiss, c.Fast = 0, 0 }), false},
		{"deadline only", only(func(c *kvmemory.PaceConfig) { c.Fast = 0 }), false},
		{"fast only", only(func(c *kvmemory.PaceConfig) { c.MaxMiss = 0 }), false},
		{"no waiting", only(func(c *kvmemory.PaceConfig) { c.MaxMiss, c.LastMiss = 1, 1 }), false},
		{"default", kvmemory.DefaultPace(), false},
		{"oracle", kvmemory.DefaultPace(), true},
	} {
		results[c.name] = replaySpeeds(threeClasses, seeds, c.pace, c.oracle)
		results[c.name].log(t, c.name)
	}
	before, beforeLargest, _ := results["as before"].bySize()
	got, gotLargest, _ := results["default"].bySize()
	assert.Check(t, 4*got.deadline <= before.deadline)
	assert.Check(t, got.rejected <= before.rejected)
	assert.Check(t, gotLargest.inTime >= beforeLargest.inTime+0.02)
	assert.Check(t, results["default"].worth() >= results["as before"].worth()+0.015)
	assert.Check(t, results["default"].worth() >= results["oracle"].worth()-0.01)
}

// withSpeeds is the load of threeClasses on engines of other speeds.
func withSpeeds(speeds ...float64) func(seed uint64) deployment {
	return func(seed uint64) deployment {
		d := threeClasses(seed)
		for i := range d.speeds {
			d.speeds[i] = speeds[i%len(speeds)]
		}
		return d
	}
}

// TestNearlyEqualEngines replays the load on engines that differ by less than their load does:
// placement by speed must not cost anything there.
func TestNearlyEqualEngines(t *testing.T) {
	for _, c := range []struct {
		name   string
		speeds []float64
		// same is set if not a single result may differ.
		same bool
	}{
		{"equal", []float64{1}, true},
		{"a few percent apart", []float64{1, 1.03, 0.97, 1.02, 0.99}, true},
		{"one third is faster", []float64{1, 1, 1.3}, false},
	} {
		before := replaySpeeds(withSpeeds(c.speeds...), 2, kvmemory.PaceConfig{}, false)
		got := replaySpeeds(withSpeeds(c.speeds...), 2, kvmemory.DefaultPace(), false)
		before.log(t, c.name+", as before")
		got.log(t, c.name)
		assert.Check(t, got.worth() >= before.worth()-0.003, c.name)
		for i, r := range got.all {
			assert.Check(t, !c.same || r.engine == before.all[i].engine && r.result == before.all[i].result, "%s: request %d", c.name, i)
		}
	}
}

// TestEnginesSlowDown replays engines that are four times slower for eight seconds: they must get
// few runs in that time, before a burst fills all engines from second 17 on, and their share again
// afterwards.
func TestEnginesSlowDown(t *testing.T) {
	for _, c := range []struct {
		name string
		load func(seed uint64) deployment
		// gain is the worth that placement by speed gains at least. On equal engines, slow ones are
		// full of runs that take longer, and hardly get more without it.
		gain float64
	}{
		{"three speeds", threeClasses, 0.01},
		{"equal engines", withSpeeds(1.2), -0.003},
	} {
		slow := func(seed uint64) deployment {
			d := c.load(seed)
			d.slowdown = func(engine int, at time.Time) float64 {
				if after := at.Sub(start); engine%8 == 0 && after >= 12*time.Second && after < 20*time.Second {
					return 4
				}
				return 1
			}
			return d
		}
		before := replaySpeeds(slow, 3, kvmemory.PaceConfig{}, false)
		got := replaySpeeds(slow, 3, kvmemory.DefaultPace(), false)
		before.log(t, c.name+", as before")
		got.log(t, c.name)
		assert.Check(t, got.worth() >= before.worth()+c.gain, c.name)
		placed := func(r *speedResult, from, to time.Duration) (n int) {
			for _, q := range r.all {
				if at := q.firstEvent.Sub(start); at >= from && at < to && (q.engine == "e-000" || q.engine == "e-008" || q.engine == "e-016") {
					n++
				}
			}
			return n
		}
		during, usual := placed(got, 13*time.Second, 17*time.Second), placed(before, 13*time.Second, 17*time.Second)
		after, usualAfter := placed(got, 22*time.Second, 32*time.Second), placed(before, 22*time.Second, 32*time.Second)
		t.Logf("%s: placed while they are slow %d, as before %d; afterwards %d, as before %d", c.name, during, usual, after, usualAfter)
		assert.Check(t, 2*during <= usual, c.name)
		assert.Check(t, 2*after >= usualAfter, c.name)
	}
}
