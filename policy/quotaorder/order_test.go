package quotaorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// level is that of a bucket of 240,472 a second that holds a share of its burst.
func level(share float64) Level {
	const rate = 240_472
	return Level{Remaining: share * rate, Burst: rate, Rate: rate}
}

func request(priority int, cost float64, retried bool) Request {
	return Request{Class: ClassOf(priority, cost, level(1).Rate), Cost: cost, Retried: retried}
}

// TestClasses: the name of a class goes into metrics and logs, and its number to other gateways.
func TestClasses(t *testing.T) {
	for _, c := range []struct {
		priority int
		cost     float64
		class    Class
		name     string
	}{
		{0, 200, 0, "p0-cheap"}, {0, 7000, 1, "p0-expensive"}, {2, 200, 4, "p2-cheap"}, {2, 7000, 5, "p2-expensive"},
		{-1, 200, 0, "p0-cheap"}, {99, 7000, 7, "p3-expensive"},
	} {
		got := ClassOf(c.priority, c.cost, level(1).Rate)
		assert.Equal(t, got, c.class)
		assert.Equal(t, got.String(), c.name)
	}
}

// TestThresholdsAreOrdered: no request needs a higher level than one of a later class, nor than a more expensive one of
// its own, and none needs more than the level at which the order ends: it would be rejected though the quota is not used.
func TestThresholdsAreOrdered(t *testing.T) {
	const e = 1e-6
	all := Demand{1e6, 1e6, 1e6, 1e6, 1e6, 1e6, 1e6, 1e6}
	last := 0.0
	for priority := range numPriorities {
		for _, cost := range []float64{1, 200, 1800, 1900, 3000, 7000, 15_000} {
			r := request(priority, cost, false)
			got := r.threshold(&all, level(1))
			assert.Check(t, got >= last-e && got <= endLevel*level(1).Burst+e, "p%d %.0f: %.0f after %.0f", priority, cost, got, last)
			last = got
		}
	}
	retried, first := request(1, 7000, true), request(1, 7000, false)
	few := Demand{0, 1000, 0, 1000}
	assert.Check(t, retried.threshold(&few, level(1)) < first.threshold(&few, level(1)), "most of the class is admitted")
	many := Demand{0, 1e5, 0, 1e6}
	assert.Equal(t, retried.threshold(&many, level(1)), first.threshold(&many, level(1)), "most of the class is rejected")
}

// TestOrderBeginsAndEnds: the order begins when a request finds the bucket empty or another gateway reports that it has
// begun, and ends when the bucket is half full.
func TestOrderBeginsAndEnds(t *testing.T) {
	o := New(0)
	urgent, late := request(0, 7000, false), request(2, 7000, false)
	assert.Equal(t, o.Decide(urgent, level(0.01), start), Unordered)
	assert.Equal(t, o.Decide(late, level(0), start), Rejected)
	assert.Equal(t, o.Decide(late, level(0.1), start), Rejected)
	assert.Equal(t, o.Decide(urgent, level(0.1), start), Admitted)
	assert.Equal(t, o.Decide(urgent, level(0), start), Rejected, "the bucket is the limit")
	assert.Equal(t, o.Decide(late, level(endLevel), start), Unordered)
	o.Start(level(endLevel))
	assert.Assert(t, !o.Active(), "a late report")
	o.Start(level(0.1))
	assert.Assert(t, o.Active())
}

// TestKeptShare: a class that more urgent ones leave nothing to is still admitted at the rate of the share that it keeps,
// by many gateways together, each of which gets few of its requests.
func TestKeptShare(t *testing.T) {
	const gateways, perSecond, duration = 27, 90, 20
	orders := make([]*Order, gateways)
	for i := range orders {
		orders[i] = New(float64(i) / gateways)
		orders[i].Start(level(0.01))
	}
	admitted := 0.0
	r := request(2, 7000, false)
	for i := range perSecond * duration {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		o := orders[i%gateways]
		o.SetPeer("others", &Demand{0, 1e6, 0, 0, 0, perSecond * r.Cost * (gateways - 1) / gateways}, 0, now)
		if o.Decide(r, level(0.01), now) == Admitted {
			admitted += r.Cost
		}
	}
	share := admitted / duration / level(1).Rate
	assert.Check(t, share > 0.7*r.Class.KeptShare() && share < 1.5*r.Class.KeptShare(), "%.3f", share)
}

// TestRetryAfterSpreadsRetries: rejected clients are told later times, at the rate at which their class is served; that
// of a class which is served first is the time until the level is high enough.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	o := New(0)
	o.Start(level(0))
	for range 30 {
		o.Decide(request(0, 7000, false), level(0), start)
		o.Decide(request(1, 7000, false), level(0), start)
	}
	var waits []time.Duration
	for range 10 {
		waits = append(waits, o.RetryAfter(request(0, 7000, false), level(0), start))
	}
	capacity := level(1).Rate / 7000
	for i := 1; i < len(waits); i++ {
		got := float64(waits[i]-waits[i-1]) / float64(time.Second)
		assert.Check(t, got > 0.9/capacity && got < 1.1/capacity, "%v", waits)
	}
	assert.Check(t, waits[0] < 100*time.Millisecond)
	o.RetryAfter(request(1, 7000, false), level(0), start)
	assert.Check(t, o.RetryAfter(request(1, 7000, false), level(0), start) > waits[1], "a less urgent class is served later")
}

// TestPeerDemand: the demand of a gateway that reports no classes is divided in the proportions of the others, and that of
// one that is silent or does not respond is forgotten.
func TestPeerDemand(t *testing.T) {
	o := New(0)
	o.Decide(request(0, 200, false), level(1), start)
	o.Decide(request(2, 600, false), level(1), start)
	o.SetPeer("old", nil, 1600, start)
	later := start.Add(sumInterval)
	d := o.Demand(later)
	assert.Check(t, d.Total() > 2200 && d.Total() < 2400 && d[4] > 2.9*d[0] && d[4] < 3.1*d[0], "%v", d)
	o.SetPeer("new", &Demand{0, 5000}, 9000, later)
	assert.Check(t, o.Demand(later.Add(sumInterval))[1] > 5000)
	o.RemovePeer("new")
	assert.Equal(t, o.Demand(later.Add(sumInterval))[1], 0.0)
	d = o.Demand(start.Add(reportTTL))
	assert.Check(t, d.Total() < 200)
}

func BenchmarkDecide(b *testing.B) {
	o := New(0.5)
	o.Start(level(0.1))
	o.SetPeer("others", &Demand{1e5, 1e6, 0, 1e6, 1e5, 1e6}, 0, start)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		o.Decide(request(i%3, 7000, false), level(0.1), start.Add(time.Duration(i)*time.Microsecond))
	}
}
