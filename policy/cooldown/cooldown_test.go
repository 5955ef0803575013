package cooldown_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestCooldowns(t *testing.T) {
	c := cooldown.New()
	assert.Equal(t, c.Remaining("a", start), time.Duration(0))
	c.Record("a", 3*time.Second, start)
	c.Record("a", time.Second, at(time.Second))
	assert.Equal(t, c.Remaining("a", at(time.Second)), 2*time.Second, "a later, shorter cooldown does not end a longer one")
	c.Record("a", 3*time.Second, at(2*time.Second))
	assert.Equal(t, c.Remaining("a", at(3*time.Second)), 2*time.Second)
	assert.Equal(t, c.Remaining("b", at(3*time.Second)), time.Duration(0))
	assert.Equal(t, c.Remaining("a", at(5*time.Second)), time.Duration(0))
	c.Record("b", time.Hour, at(4*time.Second))
	c.Record("c", time.Hour, at(4*time.Second))
	c.Forget(func(id string) bool { return id != "c" }, at(5*time.Second))
	assert.Equal(t, c.Len(), 1)
}

// TestRejectingEnginesAreAvoided replays the load pattern of the package comment: nine engines, of which two reject every
// request and ask for a cooldown of three seconds, and twenty requests a second that go to random engines.
func TestRejectingEnginesAreAvoided(t *testing.T) {
	const (
		engines, rejecting = 9, 2
		perSecond          = 20
		runTime            = 15 * time.Second
		cooldownTime       = 3 * time.Second
	)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	run := func(respect bool) (rejected, duringCooldown int) {
		c, rng := cooldown.New(), rand.New(rand.NewPCG(1, 2))
		requested := cooldown.New()
		for now := start; now.Before(at(runTime)); now = now.Add(time.Second / perSecond) {
			id := names[rng.IntN(engines)]
			for respect && c.Remaining(id, now) > 0 {
				id = names[rng.IntN(engines)]
			}
			if requested.Remaining(id, now) > 0 {
				duringCooldown++
			}
			if id < names[rejecting] {
				rejected++
				c.Record(id, cooldownTime, now)
				requested.Record(id, cooldownTime, now)
			}
		}
		return rejected, duringCooldown
	}
	rejected, duringCooldown := run(true)
	rejectedIgnoring, duringIgnoring := run(false)
	t.Logf("rejected %d, of them during a cooldown %d; without cooldowns %d, %d", rejected, duringCooldown, rejectedIgnoring, duringIgnoring)
	assert.Equal(t, duringCooldown, 0)
	assert.Check(t, rejected <= rejecting*int(runTime/cooldownTime+1))
	assert.Check(t, rejectedIgnoring > 4*rejected)
}

// TestCondition: a cooldown begins with the first rejection, and is a condition exactly until its end.
func TestCondition(t *testing.T) {
	c := cooldown.New()
	_, ok := c.Condition("a", start)
	assert.Assert(t, !ok)
	c.Record("a", 3*time.Second, start)
	c.Record("a", 4*time.Second, at(2*time.Second))
	got, ok := c.Condition("a", at(2*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, got, eligibility.Condition{Reason: eligibility.Cooldown, Author: eligibility.Server, Since: start, Until: at(6 * time.Second)})
	_, ok = c.Condition("a", at(6*time.Second-1))
	assert.Assert(t, ok)
	_, ok = c.Condition("a", at(6*time.Second))
	assert.Assert(t, !ok)
	c.Record("a", time.Second, at(7*time.Second))
	got, _ = c.Condition("a", at(7*time.Second))
	assert.Equal(t, got.Since, at(7*time.Second))
}
