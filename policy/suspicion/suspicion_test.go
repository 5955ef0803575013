package suspicion_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOneFailureIsForgottenWithinSeconds(t *testing.T) {
	tr := suspicion.New("r")
	assert.Check(t, !tr.Suspected("e", start))
	tr.Reported("other", "e", start)
	assert.Check(t, tr.Suspected("e", start.Add(100*time.Millisecond)))
	assert.Check(t, !tr.Suspected("e", start.Add(3*time.Second)))
	assert.Check(t, !tr.Suspected("f", start))
}

func TestReportsOfOneRouterCountOncePerSecond(t *testing.T) {
	once, often := suspicion.New("r"), suspicion.New("r")
	once.Reported("other", "e", start)
	for range 30 {
		often.Reported("other", "e", start)
	}
	for ms := 0; ms < 4000; ms += 50 {
		at := start.Add(time.Duration(ms) * time.Millisecond)
		assert.Check(t, once.Suspected("e", at) == often.Suspected("e", at), "after %d ms", ms)
	}
}

func TestFailuresAreAnnouncedOncePerSecond(t *testing.T) {
	tr := suspicion.New("r")
	assert.Check(t, tr.Failed("e", start))
	assert.Check(t, !tr.Failed("e", start.Add(500*time.Millisecond)))
	assert.Check(t, tr.Failed("f", start.Add(500*time.Millisecond)))
	assert.Check(t, tr.Failed("e", start.Add(time.Second)))
}

func TestSuccessesOutweighReports(t *testing.T) {
	tr := suspicion.New("r")
	tr.Reported("other", "e", start)
	tr.Succeeded("e")
	tr.Succeeded("e")
	assert.Check(t, !tr.Suspected("e", start))
}

// TestReportsOfPartitionedRouterAreDiscounted guards against one router that reaches no engine and reports all of them:
// the other routers, which do reach them, continue to use them.
func TestReportsOfPartitionedRouterAreDiscounted(t *testing.T) {
	tr := suspicion.New("r")
	for s := range 10 {
		for e := range 20 {
			tr.Reported("cut off", fmt.Sprint("e", e), start.Add(time.Duration(s)*time.Second))
		}
	}
	suspected := 0
	for e := range 20 {
		if tr.Suspected(fmt.Sprint("e", e), start.Add(9*time.Second+300*time.Millisecond)) {
			suspected++
		}
	}
	// The first few engines that it reports in a second may be suspected.
	assert.Check(t, suspected <= 3, "%d of 20 engines suspected", suspected)
}

// TestFewEnginesAreSuspectedByOneRouter: the bound above holds for any names and at any moment. Each report of further
// engines counted in inverse proportion to their number, so that up to seven engines were suspected, as the routers'
// thresholds for them have it; with the names above it was three.
func TestFewEnginesAreSuspectedByOneRouter(t *testing.T) {
	for r := range 50 {
		tr := suspicion.New(fmt.Sprintf("edge-%08x", r*2654435761))
		highest := 0
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
			suspected := 0
			for e := range 20 {
				id := fmt.Sprintf("i-%08x", uint32(e+1)*2246822519)
				if at.Sub(start)%time.Second == 0 {
					tr.Reported("cut off", id, at)
				}
				if tr.Suspected(id, at.Add(50*time.Millisecond)) {
					suspected++
				}
			}
			highest = max(highest, suspected)
		}
		assert.Check(t, highest <= 3, "router %d suspects %d of 20 engines", r, highest)
	}
}

// simulation has routers send requests to random engines that they don't suspect and, with sharing, report failures to
// each other. Detecting a failure and receiving a report take time. run returns the number of failed attempts and of all
// requests sent to the faulty engine.
type simulation struct {
	routers, engines int
	// failureRate is the probability that a request fails at the first engine, after the first second.
	failureRate float64
	duration    time.Duration
	sharing     bool
}

const (
	step = time.Millisecond
	// failureDetected is how long after an attempt began its router detects the failure, failureReported when the
	// others receive the report.
	failureDetected, failureReported = 60 * time.Millisecond, 65 * time.Millisecond
	// perStep is the number of requests that arrive in each step.
	perStep = 1
)

func (s simulation) run(seed uint64) (failed int, sent int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var routers []*suspicion.Tracker
	for i := range s.routers {
		routers = append(routers, suspicion.New(fmt.Sprint("r", i)))
	}
	type result struct {
		router int
		at     time.Duration
		ok     bool
	}
	var results []result
	for now := time.Duration(0); now < s.duration; now += step {
		at := start.Add(now)
		for range perStep {
			from := r.IntN(s.routers)
			to := s.choose(routers[from], r, at)
			if to != 0 {
				continue
			}
			sent++
			results = append(results, result{router: from, at: now, ok: now < time.Second || r.Float64() >= s.failureRate})
		}
		for _, res := range results {
			if res.ok && res.at+failureDetected == now {
				routers[res.router].Succeeded("e0")
			}
			if !res.ok && res.at+failureDetected == now {
				failed++
				routers[res.router].Failed("e0", at)
			}
			if !res.ok && res.at+failureReported == now && s.sharing {
				for i, other := range routers {
					if i != res.router {
						other.Reported(fmt.Sprint("r", res.router), "e0", at)
					}
				}
			}
		}
	}
	return failed, sent
}

func (s simulation) choose(tr *suspicion.Tracker, r *rand.Rand, now time.Time) int {
	for {
		if e := r.IntN(s.engines); !tr.Suspected(fmt.Sprint("e", e), now) {
			return e
		}
	}
}

// TestSharedReportsReduceFailures replays an engine that is gone but listed for four more seconds, and one that fails two
// requests of five, with 30 routers that learn of it from their own failures alone and from each other's reports.
func TestSharedReportsReduceFailures(t *testing.T) {
	cases := []struct {
		name string
		sim  simulation
		// minRatio is the factor by which sharing has to reduce the failed attempts.
		minRatio float64
	}{
		{"gone", simulation{routers: 30, engines: 20, failureRate: 1, duration: 5 * time.Second}, 2},
		{"failing", simulation{routers: 30, engines: 20, failureRate: 0.4, duration: 11 * time.Second}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unshared, shared := 0, 0
			for seed := range uint64(5) {
				s := c.sim
				n, _ := s.run(seed)
				unshared += n
				s.sharing = true
				n, sent := s.run(seed)
				shared += n
				t.Logf("seed %d: %d sent to the faulty engine", seed, sent)
			}
			t.Logf("failed attempts: %d without reports, %d with", unshared, shared)
			assert.Check(t, float64(unshared) >= c.minRatio*float64(shared))
		})
	}
}

// TestRecoveredEnginesAreUsed guards against a recovered engine that stays avoided: after all routers failed there at
// once, none suspects it six seconds later.
func TestRecoveredEnginesAreUsed(t *testing.T) {
	var suspected int
	for r := range 30 {
		tr := suspicion.New(fmt.Sprint("r", r))
		for other := range 29 {
			tr.Reported(fmt.Sprint("other", other), "e", start)
		}
		// Suspicion is bounded: reports from every router count no more than a few failures.
		if tr.Suspected("e", start.Add(6*time.Second)) {
			suspected++
		}
	}
	assert.Check(t, suspected == 0, "%d routers still suspect it", suspected)
}

// TestConditionEndsWithTheSuspicion: a suspicion states the moment at which it ends, however strong it is.
func TestConditionEndsWithTheSuspicion(t *testing.T) {
	for failures := 1; failures <= 5; failures++ {
		tr := suspicion.New("r")
		_, ok := tr.Condition("e", start)
		assert.Check(t, !ok)
		last := start
		for i := range failures {
			last = start.Add(time.Duration(i) * time.Second)
			tr.Failed("e", last)
		}
		c, ok := tr.Condition("e", last)
		assert.Assert(t, ok)
		assert.Equal(t, c.Reason, eligibility.Suspected)
		assert.Equal(t, c.Since, last)
		assert.Check(t, tr.Suspected("e", c.Until.Add(-time.Millisecond)), "%d failures", failures)
		assert.Check(t, !tr.Suspected("e", c.Until.Add(time.Millisecond)), "%d failures", failures)
	}
}
