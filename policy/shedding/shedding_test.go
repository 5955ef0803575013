package shedding

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_750_000_000, 0)

// processor is that of a small VM: in each period it works for a share of the time, if there is work, and then pauses. All
// requests in progress get the same part of it.
type processor struct {
	used time.Duration
	jobs []*request
}

type request struct {
	arrived time.Time
	left    time.Duration
}

const (
	period, quota = 100 * time.Millisecond, 14 * time.Millisecond
	tick          = time.Millisecond
	requestWork   = 1600 * time.Microsecond
	closeWork     = 40 * time.Microsecond
	objective     = 900 * time.Millisecond
	// usualRate is what the processor bears with ease, gatheredRate what comes while most callers come to one router.
	usualRate, gatheredRate   = 30, 400
	gatheredFrom, gatheredFor = 15 * time.Second, 12 * time.Second
	// grace is the time within which a router has to cope.
	grace = 3 * time.Second
)

// paused reports whether the processor does nothing more in this period.
func (p *processor) paused() bool { return p.used >= quota }

// work works for one tick and returns the requests that are done.
func (p *processor) work(now time.Time) (done []*request) {
	if now.Sub(start)%period == 0 {
		p.used = max(p.used-quota, 0)
	}
	budget := tick
	for budget > 0 && len(p.jobs) > 0 && !p.paused() {
		each := max(budget/time.Duration(len(p.jobs)), time.Microsecond)
		for _, j := range p.jobs {
			j.left -= each
			budget -= each
			p.used += each
		}
		p.jobs = slices.DeleteFunc(p.jobs, func(j *request) bool {
			if j.left <= 0 {
				done = append(done, j)
			}
			return j.left <= 0
		})
	}
	return done
}

// played counts the requests of a time.
type played struct{ read, served, sent int }

func (p played) share() float64 { return float64(p.served) / float64(max(p.read, 1)) }

// phase returns what counts requests that arrive at a time, and their rate.
func phase(at time.Time, before, during, after *played) (*played, float64) {
	switch since := at.Sub(start); {
	case since < gatheredFrom:
		return before, usualRate
	case since < gatheredFrom+grace:
		return &played{}, gatheredRate
	case since < gatheredFrom+gatheredFor:
		return during, gatheredRate
	default:
		return after, usualRate
	}
}

// play sends each request on a new connection: rarely at first, then many times as often for some seconds, then rarely.
func play(seed uint64, l *Limiter, accept func(time.Time) bool) (before, during, after played) {
	rng := rand.New(rand.NewPCG(seed, 9))
	var cpu processor
	probeDue := start.Add(l.Interval())
	for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(tick) {
		for _, r := range cpu.work(now) {
			if count, _ := phase(r.arrived, &before, &during, &after); now.Sub(r.arrived) <= objective {
				count.served++
			}
		}
		if !now.Before(probeDue) && !cpu.paused() {
			l.ObserveLag(now.Sub(probeDue), now)
			probeDue = now.Add(l.Interval())
		}
		count, rate := phase(now, &before, &during, &after)
		if rng.Float64() >= rate*tick.Seconds() {
			continue
		}
		count.sent++
		if !accept(now) {
			cpu.used += closeWork
			continue
		}
		count.read++
		cpu.jobs = append(cpu.jobs, &request{arrived: now, left: requestWork})
	}
	return before, during, after
}

// TestConnectionsGatheredAtOneRouter guards against a router to which most callers come and that reads more requests than
// it can serve: from three seconds on those that it reads are served at least three quarters as often as before, and the
// processor is used. Before and after nothing is rejected.
func TestConnectionsGatheredAtOneRouter(t *testing.T) {
	for seed := range uint64(5) {
		_, all, _ := play(seed, New(), func(time.Time) bool { return true })
		l := New()
		before, during, after := play(seed, l, l.Accept)
		t.Logf("served of those read: %.3f before, %.3f during (%.3f if all are accepted), %.3f after; %d of %d read", before.share(), during.share(),
			all.share(), after.share(), during.read, during.sent)
		assert.Check(t, during.share() >= 0.75*before.share())
		assert.Check(t, all.share() < 0.75*before.share(), "the load is no overload")
		possible := (gatheredFor - grace).Seconds() / period.Seconds() * quota.Seconds() / requestWork.Seconds()
		assert.Check(t, float64(during.read) >= possible/2, "%d of %v", during.read, possible)
		assert.Equal(t, before.read, before.sent)
		assert.Check(t, float64(after.read) >= 0.95*float64(after.sent))
	}
}

// TestPauseIsNoOverload: a process that was paused, or a burst that drains, limits nothing.
func TestPauseIsNoOverload(t *testing.T) {
	l := New()
	now := start
	for range 100 {
		for i := range 20 {
			lag := time.Millisecond
			if i == 0 {
				lag = 2 * time.Second
			}
			now = now.Add(l.Interval() + lag)
			l.ObserveLag(lag, now)
			assert.Assert(t, l.Accept(now))
		}
	}
	assert.Assert(t, !l.Limited())
}

// TestOverloadAtUsualRate: a processor that is overloaded at the usual rate of connections limits nothing.
func TestOverloadAtUsualRate(t *testing.T) {
	l := New()
	now := start
	for i := range 1000 {
		lag := time.Duration(0)
		if i >= 500 {
			lag = 60 * time.Millisecond
		}
		now = now.Add(l.Interval() + lag)
		l.ObserveLag(lag, now)
		assert.Assert(t, l.Accept(now))
	}
}

// TestLimitEnds: once connections come at less than the rate, all are accepted again. Nothing is limited shortly after the
// first connection.
func TestLimitEnds(t *testing.T) {
	l := New()
	now := start
	for now.Before(start.Add(usualTime - time.Second)) {
		now = now.Add(l.Interval() + 60*time.Millisecond)
		l.ObserveLag(60*time.Millisecond, now)
		assert.Assert(t, l.Accept(now))
	}
	for range 100 {
		now = now.Add(l.Interval() + 60*time.Millisecond)
		l.ObserveLag(60*time.Millisecond, now)
		for range 10 {
			l.Accept(now)
		}
	}
	assert.Assert(t, l.Limited())
	for range 500 {
		now = now.Add(l.Interval())
		l.ObserveLag(0, now)
	}
	assert.Assert(t, !l.Limited())
}
