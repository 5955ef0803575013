package retrybudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
)

var limits = retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}

var start = time.Unix(1000, 0)

// replay sends requests at a rate for a time, retries each of them if that is allowed, and
// returns the times of the retries.
func replay(budgets []*retrybudget.Budget, from time.Time, perSecond int, d time.Duration) []time.Time {
	var retries []time.Time
	step := time.Second / time.Duration(perSecond)
	for i, now := 0, from; now.Before(from.Add(d)); i, now = i+1, now.Add(step) {
		b := budgets[i%len(budgets)]
		b.AddRequest(limits, now)
		if b.TryRetry(limits, len(budgets), now) {
			retries = append(retries, now)
		}
	}
	return retries
}

// maxPerWindow returns the largest number of retries within one window.
func maxPerWindow(retries []time.Time) int {
	highest := 0
	for i, from := range retries {
		n := 0
		for _, r := range retries[i:] {
			if r.Sub(from) < limits.Window {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func budgets(n int) []*retrybudget.Budget {
	out := make([]*retrybudget.Budget, n)
	for i := range out {
		out[i] = &retrybudget.Budget{}
	}
	return out
}

// TestEveryAnswerLost replays a service that loses every answer under steady load, at one
// router and at several.
func TestEveryAnswerLost(t *testing.T) {
	for _, n := range []int{1, 4, 26} {
		retries := replay(budgets(n), start, 60, time.Minute)
		bound := int(limits.Ratio*600 + limits.Slack)
		assert.Assert(t, maxPerWindow(retries) <= bound, "%d routers: %d of %d", n, maxPerWindow(retries), bound)
		assert.Assert(t, maxPerWindow(retries) >= bound/2, "%d routers: %d of %d", n, maxPerWindow(retries), bound)
	}
}

// TestRestart replays a power failure after which all routers start without state: the retries
// of the processes before them still count.
func TestRestart(t *testing.T) {
	before := replay(budgets(4), start, 20, 25*time.Second)
	after := replay(budgets(4), start.Add(25500*time.Millisecond), 20, 30*time.Second)
	bound := int(limits.Ratio*200 + limits.Slack)
	got := maxPerWindow(append(before, after...))
	assert.Assert(t, got <= bound, "%d of %d", got, bound)
}

func TestIdleBudgetAllowsLittle(t *testing.T) {
	b := &retrybudget.Budget{}
	assert.Assert(t, !b.TryRetry(limits, 4, start), "no request was counted yet")
	b.AddRequest(limits, start)
	later := start.Add(20 * time.Second)
	n := 0
	for b.TryRetry(limits, 4, later) {
		n++
	}
	assert.Equal(t, n, int(0.8*limits.Slack/4))
}
