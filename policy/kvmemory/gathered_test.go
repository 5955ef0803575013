package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// gathered are the seconds in which nine of ten requests come to one router, and which one.
var gathered = []struct {
	from, until time.Duration
	router      int
}{
	{8 * time.Second, 17 * time.Second, 0},
	{17 * time.Second, 26 * time.Second, 1},
}

// gather sends nine of ten requests to one router for some seconds, then to another.
func (s *simulation) gather() {
	for _, r := range s.all {
		for _, g := range gathered {
			if at := r.firstArrival.Sub(start); at >= g.from && at < g.until && r.number%10 != 0 {
				r.router = g.router
			}
		}
	}
}

// servedAtFirstAttempt returns the share of requests in those seconds that are served without a rejection.
func (s *simulation) servedAtFirstAttempt() float64 {
	served, all := 0, 0
	for _, r := range s.all {
		at := r.firstArrival.Sub(start)
		if at < gathered[0].from || at >= gathered[1].until {
			continue
		}
		all++
		if r.rejections == 0 && (r.result == resultInTime || r.result == resultLate) {
			served++
		}
	}
	return float64(served) / float64(all)
}

// TestRequestsGatheredAtOneRouter guards against a router that rejects the requests of all callers, since it expects only
// its equal share of the memory that becomes free: while most requests come to one router they are served at the first
// attempt at least three quarters as often as when they are spread, and more often than by equal shares.
func TestRequestsGatheredAtOneRouter(t *testing.T) {
	const least, seeds = 0.75, 3
	play := func(name string, gathered bool, expected func(*kvmemory.Pool, time.Time) float64) (served float64) {
		for seed := range uint64(seeds) {
			d := shortPrompts(30, 38)
			d.seed = seed
			s := newSimulation(d, kvmemory.DefaultConfig())
			s.leaveSaturated, s.expectedFree = true, expected
			if gathered {
				s.gather()
			}
			s.simulate().log(t, name)
			served += s.servedAtFirstAttempt() / seeds
		}
		return served
	}
	equal := func(p *kvmemory.Pool, _ time.Time) float64 { return p.TokensPerRouter() }
	expected := func(p *kvmemory.Pool, _ time.Time) float64 { return p.ExpectedTokens() }
	spread, before, after := play("spread", false, expected), play("equal shares", true, equal), play("gathered", true, expected)
	t.Logf("served at the first attempt: %.3f spread; gathered %.3f by equal shares, %.3f", spread, before, after)
	assert.Check(t, after >= least*spread)
	assert.Check(t, after > before)
}
