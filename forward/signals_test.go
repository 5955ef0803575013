package forward_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestLimitsAreLogged: a declared limit is logged when it begins, changes and ends, once each.
func TestLimitsAreLogged(t *testing.T) {
	w := newTestEnv(t)
	s := w.add(t, "p1", "plain", registry.Whole)
	logged := func(text string) int { return strings.Count(w.logged.String(), text) }
	limited := func() int64 { return w.met.Gauge(metrics.ServersLimited).Value() }
	// A server with a limit may not be called again for a while.
	awaitLogged := func(limit, text string) {
		s.SetLimit(limit)
		const maxCalls = 5000
		for i := 0; i < maxCalls && logged(text) == 0; i++ {
			w.post(t, "/safe/1")
		}
		w.post(t, "/safe/2")
		assert.Equal(t, logged(text), 1, "%s", text)
	}
	w.post(t, "/safe/1")
	assert.Equal(t, logged(`"event":737`), 0)
	awaitLogged("3000.5", `"limited":true,"per_second":3000.5`)
	assert.Equal(t, limited(), int64(1))
	awaitLogged("4000", `"limited":true,"per_second":4000`)
	awaitLogged("", `"limited":false,"per_second":0`)
	assert.Equal(t, limited(), int64(0))
}

// TestInvalidLimits: a limit that is not a valid number of requests is logged and limits nothing.
func TestInvalidLimits(t *testing.T) {
	for _, limit := range []string{"x", "-1", "NaN", "+Inf", "1e999"} {
		w := newTestEnv(t)
		w.add(t, "p1", "plain", registry.Whole).SetLimit(limit)
		assert.Equal(t, w.post(t, "/safe/1").status, 200)
		assert.Assert(t, strings.Contains(w.logged.String(), `"event":738`), "%q", limit)
		assert.Equal(t, w.met.Gauge(metrics.ServersLimited).Value(), int64(0))
	}
}

// Signals in answers to reservations count as well.
func TestLimitInAnswerToReservation(t *testing.T) {
	w := newEngineEnv(t)
	w.servers["d1"].SetFull(true)
	w.servers["d2"].SetFull(true)
	w.servers["d1"].SetLimit("3000")
	w.post(t, "/draft/1", site.Deadline, "900")
	assert.Assert(t, strings.Contains(w.logged.String(), `"server":"d1","service":"llm","limited":true`))
}

// TestLeavingAndCooldownAreLogged: an announced shutdown and a requested cooldown are logged.
func TestLeavingAndCooldownAreLogged(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].Behave(site.Answer, site.Shed)
	w.servers["p1"].SetRetryAfter("0.25")
	assert.Equal(t, w.post(t, "/unsafe/1").status, 200)
	assert.Assert(t, strings.Contains(w.logged.String(), `"event":739,"text":"server has turned a request away and asks for rest","server":"p1","service":"plain","rest":250`))
	w.servers["p2"].SetLeaving()
	w.servers["p3"].SetLeaving()
	w.post(t, "/once/2")
	w.post(t, "/once/3")
	w.post(t, "/once/4")
	assert.Assert(t, strings.Contains(w.logged.String(), `"event":740`))
}

// TestInvalidCooldowns: a refusal whose cooldown is not a valid number of seconds is logged.
func TestInvalidCooldowns(t *testing.T) {
	for _, rest := range []string{"soon", "-1", "NaN", "Thu, 03 Dec 2026 10:00:00 GMT"} {
		w := newPlainEnv(t)
		w.servers["p1"].Behave(site.Shed)
		w.servers["p1"].SetRetryAfter(rest)
		assert.Equal(t, w.post(t, "/unsafe/1").status, 200)
		assert.Assert(t, strings.Contains(w.logged.String(), `"event":738`), "%q", rest)
	}
}
