package shedding

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_750_000_000, 0)

// checkGathered plays a load with many seeds and checks that from three seconds on requests that are read are served at least
// three quarters as often as before, and that a connection is taken in each three seconds.
func checkGathered(t *testing.T, load load) {
	for seed := range uint64(20) {
		got := replay(seed, load, way{})
		t.Logf("served of those read: %.3f before, %.3f during, %.3f after; %d of %d read; none taken for %v", got.before.share(),
			got.during.share(), got.after.share(), got.during.read, got.during.sent, got.longest)
		served := got.during.share()
		assert.Check(t, served >= 0.75*got.before.share() && served >= 0.75, "seed %d: served %.3f", seed, served)
		assert.Check(t, got.longest <= grace)
		assert.Equal(t, got.before.read, got.before.sent)
		assert.Check(t, float64(got.after.read) >= 0.95*float64(got.after.sent), "seed %d: after it %d of %d read", seed, got.after.read, got.after.sent)
		if load.bears() {
			assert.Check(t, float64(got.during.read) >= 0.95*float64(got.during.sent), "%d of %d", got.during.read, got.during.sent)
		}
	}
}

// TestConnectionsGatheredAtOneRouter guards against a router to which most callers come and that reads more requests than
// it can serve, or turns away those that it can serve since its processor pauses. Before and after nothing is rejected.
func TestConnectionsGatheredAtOneRouter(t *testing.T) {
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			checkGathered(t, load)
			if !load.bears() && !load.startsGathered {
				checkUsed(t, load)
			}
		})
	}
}

// TestOverloadFromStartUsesProcessor guards against a router that starts into an overload and then takes less than half of what
// its processor bears.
func TestOverloadFromStartUsesProcessor(t *testing.T) {
	for _, load := range loads {
		if load.startsGathered {
			checkUsed(t, load)
		}
	}
}

// checkUsed plays an overload with many seeds and checks that it is one, and that half of what the processor bears is read.
func checkUsed(t *testing.T, load load) {
	for seed := range uint64(20) {
		all := replay(seed, load, way{acceptsAll: true})
		assert.Check(t, all.during.share() < 0.75, "the load is no overload")
		got := replay(seed, load, way{})
		possible := (gatheredFor - grace).Seconds() * load.machine.share() / load.work.Seconds()
		assert.Check(t, float64(got.during.read) >= possible/2, "seed %d: %d of %v", seed, got.during.read, possible)
	}
}

// TestFewConnectionsAtSlowRouter guards against the same where a handful of requests is an overload.
func TestFewConnectionsAtSlowRouter(t *testing.T) {
	for _, load := range slowLoads {
		t.Run(load.name, func(t *testing.T) { checkGathered(t, load) })
	}
}

// TestSignsOfOverload compares the ways on the same replays: waits for the processor are no worse a sign than late timers, nor
// than none, wherever the processor stops.
func TestSignsOfOverload(t *testing.T) {
	ways := []way{{name: "waits for the processor"}, {name: "late timers", lateTimers: true}, {name: "all accepted", acceptsAll: true}}
	for _, load := range slices.Concat(loads, slowLoads) {
		best := 0
		for i, w := range ways {
			var sum result
			for seed := range uint64(20) {
				got := replay(seed, load, w)
				sum.during.read += got.during.read
				sum.during.served += got.during.served
				sum.during.sent += got.during.sent
				sum.longest = max(sum.longest, got.longest)
			}
			t.Logf("%s, %s: of %d sent %d read, %d served (%.3f of those read); none taken for %v", load.name, w.name, sum.during.sent,
				sum.during.read, sum.during.served, sum.during.share(), sum.longest)
			if i == 0 {
				best = sum.during.served
			}
			assert.Check(t, float64(best) >= 0.9*float64(sum.during.served), "%s: %d with %s", load.name, sum.during.served, w.name)
		}
	}
}

// TestConnectionIsTakenWhateverTheLimit guards against a router that takes no connection for seconds, whatever connections
// come and however long it waits for the processor.
func TestConnectionIsTakenWhateverTheLimit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 57))
		l := New()
		now, taken := start, start
		for range 3000 {
			step := time.Duration(rng.ExpFloat64() * float64(time.Duration(1+rng.IntN(100))*time.Millisecond))
			now = now.Add(step)
			switch rng.IntN(4) {
			case 0:
				l.BeginProbe(now)
			case 1:
				l.ObserveDelay(time.Duration(rng.ExpFloat64()*float64(time.Duration(1+rng.IntN(1000))*time.Millisecond)), now)
			default:
				if l.Accept(now, Work{}) {
					taken = now
				}
				assert.Assert(t, now.Sub(taken) < MaxPause, "seed %d", seed)
			}
		}
	}
}

// TestPauseIsNoOverload: a process that was paused, or a burst that drains, limits nothing.
func TestPauseIsNoOverload(t *testing.T) {
	l := New()
	now := start
	for range 100 {
		for i := range 20 {
			lag := time.Millisecond
			if i == 0 {
				lag = 2 * time.Second
			}
			now = now.Add(l.Interval() + lag)
			l.BeginProbe(now.Add(-lag))
			l.ObserveDelay(lag, now)
			assert.Assert(t, l.Accept(now, Work{}))
		}
	}
	assert.Assert(t, !l.Limited())
}

// TestOverloadAtUsualRate: a processor that is overloaded at the usual rate of connections limits nothing.
func TestOverloadAtUsualRate(t *testing.T) {
	l := New()
	now := start
	for i := range 1000 {
		lag := time.Duration(0)
		if i >= 500 {
			lag = 60 * time.Millisecond
		}
		now = now.Add(l.Interval() + lag)
		l.BeginProbe(now.Add(-lag))
		l.ObserveDelay(lag, now)
		assert.Assert(t, l.Accept(now, Work{}))
	}
}

// TestLimitEnds: once connections come at less than the rate, all are accepted again. Nothing is limited shortly after the
// first connection.
func TestLimitEnds(t *testing.T) {
	l := New()
	now := start
	for now.Before(start.Add(usualTime - time.Second)) {
		now = now.Add(l.Interval() + 60*time.Millisecond)
		l.BeginProbe(now.Add(-60 * time.Millisecond))
		l.ObserveDelay(60*time.Millisecond, now)
		assert.Assert(t, l.Accept(now, Work{}))
	}
	for range 100 {
		now = now.Add(l.Interval() + 60*time.Millisecond)
		l.BeginProbe(now.Add(-60 * time.Millisecond))
		l.ObserveDelay(60*time.Millisecond, now)
		for range 10 {
			l.Accept(now, Work{})
		}
	}
	assert.Assert(t, l.Limited())
	for range 500 {
		now = now.Add(l.Interval())
		l.BeginProbe(now)
		l.ObserveDelay(0, now)
	}
	assert.Assert(t, !l.Limited())
}

// TestUnresponsive guards against a router that says that it is ready while nobody is answered in time, and against one that
// never says so again.
func TestUnresponsive(t *testing.T) {
	l := New()
	assert.Assert(t, !l.Unresponsive(start, Work{}))
	l.Accept(start, Work{})
	l.BeginProbe(start)
	assert.Assert(t, !l.Unresponsive(start.Add(unresponsiveDelay-1), Work{}))
	assert.Assert(t, l.Unresponsive(start.Add(unresponsiveDelay), Work{}))
	now := start.Add(3 * time.Second)
	l.ObserveDelay(3*time.Second, now)
	assert.Assert(t, l.Unresponsive(now, Work{}))
	assert.Assert(t, !l.Idle(), "without another probe it stays so")
	l.BeginProbe(now)
	l.ObserveDelay(time.Millisecond, now.Add(time.Millisecond))
	assert.Assert(t, !l.Unresponsive(now.Add(time.Millisecond), Work{}))
}
