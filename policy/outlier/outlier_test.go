package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
)

var start = time.Unix(1000, 0)

// observe records n requests at each server, a tenth of a second apart, and returns the
// time of the last. failureRates holds the failure rate of each server.
func observe(tr *outlier.Tracker, n int, failureRates map[string]float64) time.Time {
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	for range n {
		now = now.Add(100 * time.Millisecond)
		for _, id := range []string{"a", "b", "c"} {
			tr.Observe(id, rng.Float64() >= failureRates[id], now)
		}
	}
	return now
}

// TestGrayFailure replays a server that fails two of five requests while its health check
// passes, in a service where every server fails a seventh of its requests.
func TestGrayFailure(t *testing.T) {
	tr := outlier.New()
	now := observe(tr, 60, map[string]float64{"a": 0.4, "b": 0.14, "c": 0.14})
	assert.Assert(t, tr.ExcessFailureRate("a", now) > 0.15, "%v", tr.ExcessFailureRate("a", now))
	for _, id := range []string{"b", "c"} {
		assert.Assert(t, tr.ExcessFailureRate(id, now) < 0.1, "%s: %v", id, tr.ExcessFailureRate(id, now))
	}
}

func TestCommonFailureRateIsNoOutlier(t *testing.T) {
	tr := outlier.New()
	now := observe(tr, 60, map[string]float64{"a": 0.14, "b": 0.14, "c": 0.14})
	for _, id := range []string{"a", "b", "c"} {
		assert.Assert(t, tr.ExcessFailureRate(id, now) < 0.12, "%s: %v", id, tr.ExcessFailureRate(id, now))
	}
}

func TestRecoveredServerIsTrusted(t *testing.T) {
	tr := outlier.New()
	now := observe(tr, 60, map[string]float64{"a": 1})
	assert.Assert(t, tr.ExcessFailureRate("a", now) > 0.5)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		tr.Observe("a", true, now)
	}
	assert.Assert(t, tr.ExcessFailureRate("a", now) < 0.15)
}

func TestSuspect(t *testing.T) {
	tr := outlier.New()
	for i := range 3 {
		assert.Assert(t, !tr.Ejected("a", start), "after %d", i)
		tr.Observe("a", false, start)
	}
	assert.Assert(t, tr.Ejected("a", start.Add(time.Second)))
	assert.Assert(t, !tr.Ejected("a", start.Add(3*time.Second)), "it is tried again")
	tr.Observe("a", true, start.Add(3*time.Second))
	assert.Assert(t, !tr.Ejected("a", start.Add(3*time.Second)))
}

func TestForget(t *testing.T) {
	tr := outlier.New()
	tr.Observe("a", false, start)
	tr.Forget(func(string) bool { return false })
	assert.Equal(t, tr.ExcessFailureRate("a", start), 0.0)
}

// BenchmarkChoice measures one choice among many servers, which reads the failure rate of each.
func BenchmarkChoice(b *testing.B) {
	tr := outlier.New()
	ids := make([]string, 350)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", i)
		tr.Observe(ids[i], i%7 != 0, start)
	}
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for _, id := range ids {
			_ = tr.ExcessFailureRate(id, now)
		}
	}
}

// TestConditions: a server that fails is ejected until a while after its last failure, and costly for longer.
func TestConditions(t *testing.T) {
	tr := outlier.New()
	conditions := func(id string, at time.Time) (out []eligibility.Condition) {
		tr.Conditions(id, 30, at, func(c eligibility.Condition) { out = append(out, c) })
		return out
	}
	for range 3 {
		tr.Observe("a", false, start)
		tr.Observe("b", true, start)
	}
	assert.Equal(t, len(conditions("b", start)), 0)
	got := conditions("a", start)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Reason, eligibility.Ejected)
	assert.Equal(t, got[0].Since, start)
	assert.Assert(t, tr.Ejected("a", got[0].Until.Add(-1)) && !tr.Ejected("a", got[0].Until))
	assert.Equal(t, got[1].Reason, eligibility.Failing)
	assert.Equal(t, got[1].Cost, 30*tr.ExcessFailureRate("a", start))
	later := conditions("a", got[0].Until)
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].Reason, eligibility.Failing)
}
