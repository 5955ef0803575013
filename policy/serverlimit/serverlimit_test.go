package serverlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// limited is the limit of a server as an answer announces it at that time.
func limited(perSecond float64, now time.Time) Statement {
	return Statement{Limit: Limit{Limited: true, PerSecond: perSecond}, At: now}
}

// newInformed returns the limits of a process that has run long enough to know the remaining tokens.
func newInformed() *Limits { return New(1, start.Add(-time.Hour)) }

// take returns how many of a number of requests may be sent, one after the other.
func take(l *Limits, id string, requests int, interval time.Duration) (sent int) {
	for i := range requests {
		if l.Take(id, at(time.Duration(i)*interval)) {
			sent++
		}
	}
	return sent
}

func TestLimitAppliesWhileAnnounced(t *testing.T) {
	l := newInformed()
	assert.Equal(t, take(l, "a", 100, 0), 100, "no limit announced yet")
	assert.Assert(t, l.Update("a", limited(2, start), start))
	assert.Equal(t, l.LimitOf("a"), Limit{Limited: true, PerSecond: 2})
	sent := take(l, "a", 1000, 10*time.Millisecond)
	assert.Check(t, sent >= 19 && sent <= 22, "%d in ten seconds", sent)
	assert.Equal(t, take(l, "b", 100, 0), 100, "another server")

	assert.Check(t, !l.Update("a", limited(2, at(11*time.Second)), at(11*time.Second)), "repeating the same limit is no change")
	assert.Check(t, !l.Update("a", Statement{At: at(10 * time.Second)}, at(12*time.Second)), "the answer to a request that was sent before the latest statement")
	assert.Check(t, l.Wait("a", at(11*time.Second)) == 0 || l.Count() == 1)
	assert.Check(t, l.Update("a", Statement{At: at(11500 * time.Millisecond)}, at(12*time.Second)))
	assert.Equal(t, l.Count(), 0)
	assert.Equal(t, take(l, "a", 100, 0), 100, "the server announces no limit any more")
}

func TestZeroLimitIsProbed(t *testing.T) {
	l := newInformed()
	l.Update("a", limited(0, start), start)
	sent := take(l, "a", 4000, 10*time.Millisecond)
	assert.Check(t, sent >= 7 && sent <= 8, "%d in 40 seconds", sent)
}

func TestRaisedLimitAppliesAtOnce(t *testing.T) {
	l := newInformed()
	l.Update("a", limited(0.1, start), start)
	assert.Assert(t, l.Wait("a", at(time.Second)) > time.Second)
	l.Update("a", limited(50, at(time.Second)), at(time.Second))
	assert.Assert(t, l.Wait("a", at(1100*time.Millisecond)) == 0)
}

func TestRemovedServersHaveNoLimit(t *testing.T) {
	l := newInformed()
	l.Update("a", limited(1, start), start)
	l.Update("b", limited(1, start), start)
	l.Retain(func(id string) bool { return id == "b" })
	assert.Equal(t, l.Count(), 1)
	assert.Equal(t, take(l, "a", 10, 0), 10)
}

func TestReturnedRequestCanBeTakenAgain(t *testing.T) {
	l := newInformed()
	l.Update("a", limited(0.5, start), start)
	now := at(3 * time.Second)
	assert.Assert(t, l.Take("a", now))
	assert.Assert(t, !l.Take("a", now))
	l.Return("a", now)
	assert.Assert(t, l.Take("a", now))
}

func TestEndedLimitsAreReportedForAWhile(t *testing.T) {
	l := newInformed()
	l.Update("a", limited(1, start), start)
	assert.Equal(t, len(l.Report(at(time.Hour))), 1)
	l.Update("a", Statement{At: at(time.Second)}, at(time.Second))
	assert.DeepEqual(t, l.Report(at(2*time.Second)), []ReportedLimit{{ID: "a", Statement: Statement{At: at(time.Second)}}})
	assert.Equal(t, len(l.Report(at(time.Second+endReportedFor))), 0)
}

// TestCondition: a server with a limit has a condition exactly while no request may be sent to it.
func TestCondition(t *testing.T) {
	l := newInformed()
	_, ok := l.Condition("a", start)
	assert.Assert(t, !ok, "no limit")
	l.Update("a", limited(2, start), start)
	for range 20 {
		now := start
		c, ok := l.Condition("a", now)
		if !ok {
			assert.Assert(t, l.Take("a", now))
			continue
		}
		assert.Equal(t, c.Reason, eligibility.RateLimit)
		assert.Equal(t, c.Since, start)
		assert.Assert(t, l.Wait("a", c.Until.Add(-time.Millisecond)) > 0)
		assert.Equal(t, l.Wait("a", c.Until), time.Duration(0))
		return
	}
	t.Fatal("the limit is never used up")
}
