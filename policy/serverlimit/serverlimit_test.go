package serverlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// named is a server's limit as an answer of that time names it.
func named(perSecond float64, now time.Time) Statement {
	return Statement{Limit: Limit{Limited: true, PerSecond: perSecond}, At: now}
}

// old is a process that knows by itself what is left of limits.
func old() *Limits { return New(1, start.Add(-time.Hour)) }

// take returns how many of some requests may be sent, one after the other.
func take(l *Limits, id string, requests int, pause time.Duration) (sent int) {
	for i := range requests {
		if l.Take(id, at(time.Duration(i)*pause)) {
			sent++
		}
	}
	return sent
}

func TestLimitHoldsAsLongAsItIsNamed(t *testing.T) {
	l := old()
	assert.Equal(t, take(l, "a", 100, 0), 100, "no limit is known")
	assert.Assert(t, l.Update("a", named(2, start), start))
	assert.Equal(t, l.LimitOf("a"), Limit{Limited: true, PerSecond: 2})
	sent := take(l, "a", 1000, 10*time.Millisecond)
	assert.Check(t, sent >= 19 && sent <= 22, "%d in ten seconds", sent)
	assert.Equal(t, take(l, "b", 100, 0), 100, "another server")

	assert.Check(t, !l.Update("a", named(2, at(11*time.Second)), at(11*time.Second)), "the same again is no change")
	assert.Check(t, !l.Update("a", Statement{At: at(10 * time.Second)}, at(12*time.Second)), "an answer to a request that was sent before")
	assert.Check(t, l.Wait("a", at(11*time.Second)) == 0 || l.Count() == 1)
	assert.Check(t, l.Update("a", Statement{At: at(11500 * time.Millisecond)}, at(12*time.Second)))
	assert.Equal(t, l.Count(), 0)
	assert.Equal(t, take(l, "a", 100, 0), 100, "it names none any more")
}

func TestLimitOfZeroIsAskedNowAndThen(t *testing.T) {
	l := old()
	l.Update("a", named(0, start), start)
	sent := take(l, "a", 4000, 10*time.Millisecond)
	assert.Check(t, sent >= 7 && sent <= 8, "%d in 40 seconds", sent)
}

func TestLimitThatRisesCountsAtOnce(t *testing.T) {
	l := old()
	l.Update("a", named(0.1, start), start)
	assert.Assert(t, l.Wait("a", at(time.Second)) > time.Second)
	l.Update("a", named(50, at(time.Second)), at(time.Second))
	assert.Assert(t, l.Wait("a", at(1100*time.Millisecond)) == 0)
}

func TestForgottenServersHaveNoLimit(t *testing.T) {
	l := old()
	l.Update("a", named(1, start), start)
	l.Update("b", named(1, start), start)
	l.Retain(func(id string) bool { return id == "b" })
	assert.Equal(t, l.Count(), 1)
	assert.Equal(t, take(l, "a", 10, 0), 10)
}

func TestGivenBackIsThereAgain(t *testing.T) {
	l := old()
	l.Update("a", named(0.5, start), start)
	now := at(3 * time.Second)
	assert.Assert(t, l.Take("a", now))
	assert.Assert(t, !l.Take("a", now))
	l.Return("a", now)
	assert.Assert(t, l.Take("a", now))
}

func TestEndsAreToldForAWhile(t *testing.T) {
	l := old()
	l.Update("a", named(1, start), start)
	assert.Equal(t, len(l.Report(at(time.Hour))), 1)
	l.Update("a", Statement{At: at(time.Second)}, at(time.Second))
	assert.DeepEqual(t, l.Report(at(2*time.Second)), []ReportedLimit{{ID: "a", Statement: Statement{At: at(time.Second)}}})
	assert.Equal(t, len(l.Report(at(time.Second+endToldFor))), 0)
}
