package exclusion_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/exclusion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

var scope = exclusion.Scope{Group: "llm/decode", Engines: 36, Routers: 27}

// exclude makes a tracker exclude an engine.
func exclude(t *testing.T, tr *exclusion.Tracker, id string) {
	t.Helper()
	tr.Reported("a", id, scope, start)
	c := tr.Reported("b", id, scope, start)
	assert.Assert(t, c.Excluded)
}

// TestWhatExcludes: failures of several routers in a row exclude an engine, others don't.
func TestWhatExcludes(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope exclusion.Scope
		cause func(tr *exclusion.Tracker, scope exclusion.Scope)
		want  bool
	}{
		{"two routers", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.Failed("e", s, ms(100))
		}, true},
		{"one router, often", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			for i := range 9 {
				tr.Reported("a", "e", s, ms(1000*i))
			}
		}, false},
		{"the only router", exclusion.Scope{Group: "g", Engines: 4, Routers: 1}, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Failed("e", s, start)
			tr.Failed("e", s, ms(1000))
		}, true},
		{"a success between", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.Succeeded("e", ms(1), ms(100))
			tr.Reported("b", "e", s, ms(200))
		}, false},
		{"another router's success between", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.SuccessReported("e", ms(100))
			tr.Reported("b", "e", s, ms(200))
		}, false},
		{"a success of a request that was sent before", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.Succeeded("e", ms(-100), ms(100))
			tr.Reported("b", "e", s, ms(200))
		}, true},
		{"long apart", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.Reported("b", "e", s, ms(10_000))
		}, false},
		{"the only engine", exclusion.Scope{Group: "g", Engines: 1, Routers: 27}, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e", s, start)
			tr.Reported("b", "e", s, start)
		}, false},
		{"another start of the engine", scope, func(tr *exclusion.Tracker, s exclusion.Scope) {
			tr.Reported("a", "e@1", s, start)
			tr.Reported("b", "e@1", s, start)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := exclusion.New("r")
			c.cause(tr, c.scope)
			assert.Equal(t, tr.Excluded("e", ms(1000)), c.want)
		})
	}
}

// TestAtMostAShareIsExcluded guards against a fault of the network, or of the requests, that takes most engines out of use.
func TestAtMostAShareIsExcluded(t *testing.T) {
	for engines, want := range map[int]int{1: 0, 2: 1, 5: 1, 13: 4, 36: 12} {
		tr := exclusion.New("r")
		s := exclusion.Scope{Group: "g", Engines: engines, Routers: 27}
		excluded := 0
		for e := range engines {
			for router := range 27 {
				if tr.Reported(name(router), id(e), s, ms(5000*e)).Excluded {
					excluded++
				}
			}
			for other := range e {
				if tr.Excluded(id(other), ms(5000*e)) {
					tr.Reported("keeps failing", id(other), s, ms(5000*e))
				}
			}
		}
		assert.Equal(t, excluded, want, "%d engines", engines)
	}
}

// TestPartitionedRoutersExcludeFew guards against routers that reach no engine: neither they nor those that hear their
// reports exclude many, whatever the names are, though other requests fail now and then.
func TestPartitionedRoutersExcludeFew(t *testing.T) {
	for r := range 50 {
		own, other := exclusion.New("cut off"), exclusion.New(fmt.Sprintf("edge-%08x", r*2654435761))
		s, highest := exclusion.Scope{Group: "g", Engines: 20, Routers: 5}, 0
		for at := range 100 {
			now := ms(100 * at)
			for e := range 20 {
				if at%10 == 0 {
					own.Failed(id(e), s, now)
					other.Reported("cut off", id(e), s, now)
				}
			}
			// A request of a third router fails by itself.
			failing := id((at*7 + r) % 20)
			own.Reported("third", failing, s, now)
			other.Reported("third", failing, s, now)
			other.SuccessReported(failing, now.Add(50*time.Millisecond))
			n := 0
			for e := range 20 {
				if own.Excluded(id(e), now) || other.Excluded(id(e), now) {
					n++
				}
			}
			highest = max(highest, n)
		}
		assert.Check(t, highest <= 3, "%d of 20 engines excluded", highest)
	}
}

// TestConditionEndsWithATrial: the condition ends when this router may send a trial request, sooner for a repeatable one;
// the request that is sent makes all routers wait for its outcome, and after each failure longer.
func TestConditionEndsWithATrial(t *testing.T) {
	a, b := exclusion.New("a"), exclusion.New("b")
	for _, tr := range []*exclusion.Tracker{a, b} {
		exclude(t, tr, "e")
	}
	var last time.Duration
	now := start
	for range 4 {
		c, ok := a.Condition("e", true, now)
		assert.Assert(t, ok && c.Reason == eligibility.Unhealthy && c.Until.After(now))
		wait := c.Until.Sub(now)
		assert.Check(t, wait >= last && wait <= 2*time.Second, "%v", wait)
		later, _ := a.Condition("e", false, now)
		assert.Check(t, later.Until.After(c.Until))
		_, ok = a.Condition("e", true, c.Until)
		assert.Check(t, !ok)
		now = c.Until
		assert.Check(t, a.TrialBegan("e", now))
		b.TrialReported("e", now)
		for _, tr := range []*exclusion.Tracker{a, b} {
			_, ok = tr.Condition("e", true, now.Add(time.Second))
			assert.Check(t, ok, "one trial at a time")
		}
		now = now.Add(300 * time.Millisecond)
		_, announce := a.Failed("e", scope, now)
		assert.Check(t, announce)
		b.Reported("a", "e", scope, now)
		last = wait / 2
	}
	_, announce := a.Succeeded("e", now, now)
	assert.Check(t, announce)
	assert.Check(t, b.SuccessReported("e", now).Readmitted)
	assert.Check(t, !a.Excluded("e", now) && !b.Excluded("e", now))
}

// TestExclusionsEndWithoutNews guards against an engine that stays excluded because nobody sends it anything, and against
// state of engines that are gone.
func TestExclusionsEndWithoutNews(t *testing.T) {
	tr := exclusion.New("r")
	exclude(t, tr, "e")
	assert.Check(t, tr.Excluded("e", ms(14_000)))
	assert.Check(t, !tr.Excluded("e", ms(15_000)))
	exclude(t, tr, "f")
	dropped := tr.Forget(func(id string) bool { return id != "f" }, ms(1000))
	assert.DeepEqual(t, dropped, map[string]time.Time{"f": start})
	dropped = tr.Forget(func(string) bool { return true }, ms(15_000))
	assert.DeepEqual(t, dropped, map[string]time.Time{"e": start})
	assert.Equal(t, tr.Len(), 0)
}

// TestChangesNameReporters: who reported an engine is told with its exclusion and with its end.
func TestChangesNameReporters(t *testing.T) {
	tr := exclusion.New("r")
	tr.Reported("b", "e", scope, start)
	c, announce := tr.Failed("e", scope, ms(10))
	assert.Check(t, announce)
	assert.DeepEqual(t, c, exclusion.Change{Excluded: true, Reporters: []string{"b", "r"}, Since: ms(10)})
	c, _ = tr.Succeeded("e", ms(2000), ms(2100))
	assert.DeepEqual(t, c, exclusion.Change{Readmitted: true, Reporters: []string{"b", "r"}, Since: ms(10)})
}
