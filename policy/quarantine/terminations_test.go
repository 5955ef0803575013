package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = fingerprint.Of(fingerprint.Request{Target: "/one"})
	two   = fingerprint.Of(fingerprint.Request{Target: "/two"})
)

// TestTerminations: broken attempts count once their server's termination is observed, in either order, but not if it is
// observed long after, or never.
func TestTerminations(t *testing.T) {
	e := NewTerminations()
	assert.Assert(t, !e.AttemptBroken("a", BrokenAttempt{Content: one, Generated: 7}, start))
	assert.Assert(t, !e.AttemptBroken("b", BrokenAttempt{Content: two}, start))
	got := e.ServerTerminated("a", start.Add(time.Second))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Content, one)
	assert.Equal(t, got[0].Generated, 7)
	assert.Equal(t, len(e.ServerTerminated("a", start.Add(time.Second))), 0, "once")
	assert.Assert(t, e.AttemptBroken("a", BrokenAttempt{Content: two}, start.Add(2*time.Second)), "known to have terminated")

	assert.DeepEqual(t, e.Unconfirmed(), []string{"b"})
	assert.Equal(t, len(e.ServerTerminated("b", start.Add(confirmWindow))), 0, "another cause")
}

func TestTerminationsExpire(t *testing.T) {
	e := NewTerminations()
	e.AttemptBroken("a", BrokenAttempt{Content: one}, start)
	e.ServerTerminated("b", start)
	e.Expire(start.Add(confirmWindow))
	assert.Equal(t, len(e.Unconfirmed()), 0)
	e.Expire(start.Add(terminatedTTL))
	assert.Assert(t, !e.AttemptBroken("b", BrokenAttempt{Content: one}, start.Add(terminatedTTL)))
}

// TestBrokenAttemptsAreBounded guards against a leak: a server that keeps running breaks off attempts again and again, and
// old ones are dropped.
func TestBrokenAttemptsAreBounded(t *testing.T) {
	e := NewTerminations()
	now := start
	for range 1000 {
		e.AttemptBroken("a", BrokenAttempt{Content: one}, now)
		now = now.Add(time.Second)
		e.Expire(now)
	}
	assert.Assert(t, len(e.broken["a"]) <= int(confirmWindow/time.Second))
	assert.Equal(t, len(e.ServerTerminated("a", now)), 9, "those of the last seconds")
}
