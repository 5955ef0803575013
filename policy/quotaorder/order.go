package quotaorder

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

const (
	// step is the unit of the thresholds, as a share of the burst. The copies of the level at different gateways differ by
	// 0.015 (standard deviation) and by what is admitted in 3 ms. What the level holds below the threshold of the marginal
	// class stays unused, so larger steps cost more than their precision is worth.
	step = 0.025
	// expensiveSteps is how many steps higher the threshold of the most expensive requests is than that of the cheapest
	// expensive ones, which cost costDoublings doublings less: a class of streams is served cheapest first.
	expensiveSteps, costDoublings = 3, 3
	// coveredShare is the part of the burst up to which the level has to cover the cost of a request: a request admitted
	// into debt leaves nothing to the shares that other classes keep until the debt is paid. One stream of 7,000 is a
	// tenth of a burst of 66,347.
	coveredShare = 0.15
	// endLevel is the level at which the order ends. No threshold is above it.
	endLevel = 0.5
	// minAskingShare is the demand, as a share of the quota, from which a class counts as asking.
	minAskingShare = 0.002
	// retryPreferredFrom is the admitted share of a class's demand from which retries go before first attempts. Below it
	// most of the class is rejected anyway: with such a preference only retries would be admitted, and all too late.
	retryPreferredFrom = 0.5
	// demandTimeConstant is the time over which demand is averaged: surges last some seconds.
	demandTimeConstant = time.Second
	// maxExpectedRetries bounds the expected retries, in seconds of a class's capacity: clients retry sooner or never.
	maxExpectedRetries = 10
	// minCapacity is in units per second; it keeps divisors above zero.
	minCapacity = 1e-9
	// maxCredit bounds a class's credit, in requests.
	maxCredit = 2
)

// Level is the state of the customer's bucket at the time of a decision, without the part that is reserved for gateways
// that don't respond. Rate is per second.
type Level struct {
	Remaining, Burst, Rate float64
}

// Request is one request of the customer.
type Request struct {
	Class Class
	Cost  float64
	// Retried is set if the client retries after a rejection.
	Retried bool
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Unordered leaves the decision to the bucket: admitted if anything remains.
	Unordered Verdict = iota
	// Admitted requests are within the share of their class. The bucket isn't empty.
	Admitted
	// Rejected requests are less urgent than others that exceed the quota.
	Rejected
)

// Order is one gateway's order of one customer's requests. It is not safe for concurrent use.
type Order struct {
	active bool
	// offered and admitted are the demand at this gateway, and the part that it admitted.
	offered, admitted meters
	// credit is the cost that each class may still be admitted from the share that it keeps. It starts at a random part
	// of one request: otherwise a gateway that gets one request of a class would never admit it.
	credit [NumClasses]float64
	phase  float64
	// expectedRetries is the cost of the rejected requests that are still expected to be retried, at expectedAt.
	expectedRetries [NumClasses]float64
	expectedAt      time.Time
	peers           peers
}

// New returns the order of a customer. The phase is in [0, 1) and differs between gateways.
func New(phase float64) *Order { return &Order{phase: phase} }

// Active reports whether the order applies: the demand exceeds the quota.
func (o *Order) Active() bool { return o.active }

// ActiveAt reports whether the order applies at a level.
func (o *Order) ActiveAt(l Level) bool { return o.active && l.Remaining < endLevel*l.Burst }

// Start starts the order when another gateway reports that it has: each gateway by itself would notice only when one of
// its own requests finds the bucket empty, and admit anything until then.
func (o *Order) Start(l Level) {
	if !o.active && l.Remaining < endLevel*l.Burst {
		o.start()
	}
}

// EndAt ends the order if it does not apply at a level. It is called whenever the level is known, not only for requests:
// a gateway without requests would otherwise miss that the bucket was half full in the meantime, and order ordinary use
// that comes later.
func (o *Order) EndAt(l Level) { o.active = o.ActiveAt(l) }

// Decide decides on a request, and counts it.
func (o *Order) Decide(r Request, l Level, now time.Time) Verdict {
	o.offered.add(r.Class, r.Cost, now)
	v := o.verdict(r, l, now)
	if v == Admitted || v == Unordered && l.Remaining > 0 {
		o.admitted.add(r.Class, r.Cost, now)
		o.settleRetry(r)
	}
	return v
}

func (o *Order) verdict(r Request, l Level, now time.Time) Verdict {
	o.EndAt(l)
	if !o.active && l.Remaining <= 0 && o.askingPriorities(l, now) > 1 {
		o.start()
	}
	switch {
	case !o.active:
		return Unordered
	case l.Remaining <= 0:
		return Rejected
	}
	d := o.Demand(now)
	if l.Remaining > r.threshold(&d, l) || o.spendCredit(r, &d, l) {
		return Admitted
	}
	return Rejected
}

func (o *Order) start() {
	o.active = true
	o.credit = [NumClasses]float64{}
	o.expectedRetries = [NumClasses]float64{}
}

// threshold returns the level above which a request is admitted.
func (r *Request) threshold(d *Demand, l Level) float64 {
	steps := 1.0
	for c := range r.Class {
		if d[c] >= minAskingShare*l.Rate {
			steps += c.width()
		}
	}
	if r.Retried && r.capacity(d, l) >= retryPreferredFrom*d[r.Class] {
		steps -= 0.5
	} else {
		steps += r.costSteps(l.Rate)
	}
	return max(steps*step*l.Burst, min(r.Cost, coveredShare*l.Burst))
}

// capacity returns what more urgent classes leave of the quota, per second. It may be negative.
func (r *Request) capacity(d *Demand, l Level) float64 {
	left := l.Rate
	for c := range r.Class {
		left -= d[c]
	}
	return left
}

// costSteps returns how much higher the threshold of a request is than that of the cheapest of its class, in steps.
func (r *Request) costSteps(rate float64) float64 {
	if !r.Class.Expensive() {
		return 0
	}
	return expensiveSteps * min(math.Log2(max(r.Cost*requestsPerSecond/rate, 1))/costDoublings, 1)
}

// spendCredit reports whether the share that the class keeps pays for a request. Each request adds to it, so that all
// gateways together admit that share. Gateways of earlier releases admit whatever comes while anything remains, and keep
// the level below all thresholds: beside them a class may have all that the more urgent ones leave of the quota.
func (o *Order) spendCredit(r Request, d *Demand, l Level) bool {
	credit := &o.credit[r.Class]
	if *credit == 0 {
		*credit = o.phase * r.Cost
	}
	rate := r.Class.KeptShare() * l.Rate
	if o.peers.total > 0 {
		rate = max(rate, r.capacity(d, l))
	}
	*credit += r.Cost * min(rate/max(d[r.Class], r.Cost), 1)
	*credit = min(*credit, maxCredit*r.Cost)
	if *credit < r.Cost {
		return false
	}
	*credit -= r.Cost
	return true
}

// RetryAfter returns when a rejected request is expected to be admitted, after those that were rejected before it.
func (o *Order) RetryAfter(r Request, l Level, now time.Time) time.Duration {
	d := o.Demand(now)
	all, own := o.capacities(&d, l, now)
	o.drainRetries(&own, now)
	shortfall := max(r.threshold(&d, l)-l.Remaining, 0)
	wait := shortfall/all[r.Class] + o.expectedRetries[r.Class]/own[r.Class]
	if !r.Retried {
		o.expectedRetries[r.Class] = min(o.expectedRetries[r.Class]+r.Cost, own[r.Class]*maxExpectedRetries)
	}
	return bounded.Seconds(min(wait, maxExpectedRetries))
}

// capacities returns what the more urgent classes leave to each class per second at all gateways, and the part of it for
// this gateway, which is its part of the demand.
func (o *Order) capacities(d *Demand, l Level, now time.Time) (all, own Demand) {
	o.offered.decay(now)
	left := l.Rate
	for c := range d {
		all[c] = max(left, Class(c).KeptShare()*l.Rate, minCapacity)
		own[c] = max(all[c]*min(o.offered.values[c]/max(d[c], minCapacity), 1), minCapacity)
		left -= d[c]
	}
	return all, own
}

// drainRetries lets the expected retries pass at the capacity of their classes.
func (o *Order) drainRetries(own *Demand, now time.Time) {
	elapsed := max(now.Sub(o.expectedAt).Seconds(), 0)
	o.expectedAt = now
	for c := range o.expectedRetries {
		o.expectedRetries[c] = max(o.expectedRetries[c]-own[c]*elapsed, 0)
	}
}

// settleRetry forgets the expected retry that a retried request stands for.
func (o *Order) settleRetry(r Request) {
	if r.Retried {
		o.expectedRetries[r.Class] = max(o.expectedRetries[r.Class]-r.Cost, 0)
	}
}

// Own returns the demand at this gateway.
func (o *Order) Own(now time.Time) Demand {
	o.offered.decay(now)
	return o.offered.values
}

// Demand returns the demand at all gateways that respond.
func (o *Order) Demand(now time.Time) Demand {
	d := o.Own(now)
	o.peers.addTo(&d, now)
	return d
}

// AdmittedShare returns the part of a class's recent demand that this gateway admitted; one if there was none.
func (o *Order) AdmittedShare(c Class, now time.Time) float64 {
	o.offered.decay(now)
	o.admitted.decay(now)
	if o.offered.values[c] <= 0 {
		return 1
	}
	return min(o.admitted.values[c]/o.offered.values[c], 1)
}

// askingPriorities returns the number of priorities that have requests.
func (o *Order) askingPriorities(l Level, now time.Time) int {
	n, last := 0, -1
	for c, v := range o.Demand(now) {
		if p := Class(c).Priority(); p != last && v >= minAskingShare*l.Rate {
			n, last = n+1, p
		}
	}
	return n
}

// meters are exponentially decaying averages of the rate of each class.
type meters struct {
	values Demand
	at     time.Time
}

func (m *meters) add(c Class, cost float64, now time.Time) {
	m.decay(now)
	m.values[c] += cost / demandTimeConstant.Seconds()
}

// decay lets the rates decay up to now.
func (m *meters) decay(now time.Time) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	for c := range m.values {
		m.values[c] *= factor
	}
	m.at = now
}
