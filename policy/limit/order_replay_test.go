package limit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/quotaorder"
)

// The replay of the measured load: a customer sends several times its quota, in routes of three priorities, and clients
// retry once. It runs in the simulation of shared_sim_test.go, with its faults.
const (
	surgeFrom   = 3 * seconds
	replayPlain = 200
	// streamShares are the shares of streams by priority; plain calls are of the last priority.
	streamsPerSecond, plainPerSecond = 250, 770
	streamTimeout, plainTimeout      = 14 * time.Second, 3 * time.Second
)

var streamShares = []float64{0.37, 0.28, 0.35}

// orderedSimStrategy is a strategy that knows the class of a request.
type orderedSimStrategy interface {
	simStrategy
	admitRequest(customer string, t Terms, priority int, retried bool, now time.Time) Decision
}

// orderedStrategy is the strategy in use.
type orderedStrategy struct{ sharedStrategy }

func newOrderedStrategy(gateways int, now time.Time) simStrategy {
	s := newSharedStrategy(gateways, now).(sharedStrategy)
	replayPhase = math.Mod(replayPhase+0.618, 1)
	s.OrderQuotas(replayPhase)
	return orderedStrategy{s}
}

// replayPhase is the phase of the last strategy; the phases of consecutive ones are spread evenly.
var replayPhase float64

func (s orderedStrategy) admitRequest(customer string, t Terms, priority int, retried bool, now time.Time) Decision {
	return s.AdmitOrdered(customer, t, priority, retried, now)
}

// firstComeStrategy decides as before the order was introduced, and as earlier releases do.
type firstComeStrategy struct{ sharedStrategy }

func newFirstComeStrategy(gateways int, now time.Time) simStrategy {
	return firstComeStrategy{newSharedStrategy(gateways, now).(sharedStrategy)}
}

func (s firstComeStrategy) admitRequest(customer string, t Terms, _ int, _ bool, now time.Time) Decision {
	return s.Admit(customer, t, now, nil)
}

// sharesStrategy admits of each class the part that the known demand of all leaves to it, as long as the bucket has
// anything.
type sharesStrategy struct {
	orderedStrategy
	credit map[quotaorder.Class]float64
}

func newSharesStrategy(gateways int, now time.Time) simStrategy {
	return sharesStrategy{newOrderedStrategy(gateways, now).(orderedStrategy), map[quotaorder.Class]float64{}}
}

func (s sharesStrategy) admitRequest(customer string, t Terms, priority int, retried bool, now time.Time) Decision {
	ordered := s.AdmitOrdered // Only its demand and its Retry-After are used.
	a := s.account(customer, t, now)
	if a.order == nil || !a.order.Active() {
		return ordered(customer, t, priority, retried, now)
	}
	c := quotaorder.ClassOf(priority, t.Cost, t.Rate)
	r := quotaorder.Request{Class: c, Cost: t.Cost, Retried: retried}
	a.order.Decide(r, s.level(a, now), now)
	d := a.order.Demand(now)
	left := t.Rate
	for higher := range c {
		left -= d[higher]
	}
	s.credit[c] += t.Cost * min(max(left, c.KeptShare()*t.Rate)/max(d[c], t.Cost), 1)
	if s.credit[c] < t.Cost || a.remaining <= 0 {
		return rejected("", a.order.RetryAfter(r, s.level(a, now), now))
	}
	s.credit[c] -= t.Cost
	return s.Admit(customer, t, now, nil)
}

// replayClass counts the requests of one class, in the surge.
type replayClass struct {
	offered, first, late, lateAfter, twice int
	admittedCost, offeredCost              float64
}

type replayRetry struct {
	priority int
	cost     float64
}

type orderReplay struct {
	*sim
	// load draws the arrivals, which are the same for all strategies.
	load    *rand.Rand
	surgeTo time.Duration
	factor  func(now time.Duration) float64
	classes [quotaorder.NumClasses]replayClass
	retries map[int64][]replayRetry
	// byGateway are the costs offered and admitted there.
	byGateway [][2]float64
	arrivals  map[int64][]replayRetry
	// afterwards counts requests rejected after the surge.
	afterwards int
}

// newOrderReplay returns a replay with one customer per rate.
func newOrderReplay(seed uint64, sc simScenario, rates []float64, low, high float64, length time.Duration, newStrategy func(int, time.Time) simStrategy) *orderReplay {
	const gateways = 27
	r := &orderReplay{
		sim: newSim(seed, gateways, sc, newStrategy), surgeTo: surgeFrom + length, load: rand.New(rand.NewPCG(seed, 12)),
		retries: map[int64][]replayRetry{}, arrivals: map[int64][]replayRetry{}, byGateway: make([][2]float64, gateways),
	}
	r.customers, r.checkers = nil, map[string]*simChecker{}
	for i, rate := range rates {
		c := &simCustomer{name: fmt.Sprint("c", i), rate: rate, burst: rate, load: 1, weights: r.drawWeights(gateways)}
		r.customers = append(r.customers, c)
		r.checkers[c.name] = &simChecker{limits: []simLimit{{rate: rate, burst: rate}}}
	}
	for _, g := range r.gateways {
		for _, c := range r.customers {
			g.strategy.(sharedQuotas).Configure(c.name, simTerms(c, 0), start.Add(-14*time.Second))
		}
	}
	factors := []float64{}
	for range 30 {
		factors = append(factors, low+(high-low)*r.load.Float64())
	}
	r.factor = func(now time.Duration) float64 {
		switch {
		case now >= surgeFrom && now < r.surgeTo:
			return factors[now/time.Second]
		case now < r.surgeTo+4*seconds:
			return 0.5
		default:
			return 0
		}
	}
	r.sim.sendTick = r.sendTick
	return r
}

// sendTick has the clients of a customer send their requests of one tick.
func (r *orderReplay) sendTick(c *simCustomer, now time.Duration, at time.Time) {
	mix := (streamsPerSecond*7000 + plainPerSecond*replayPlain) / c.rate
	scale := r.factor(now) / mix * simTick.Seconds()
	for priority, share := range streamShares {
		for n := streamsPerSecond * share * scale; n > 0 && r.load.Float64() < n; n-- {
			r.attempt(c, replayRetry{priority, 1500 + min(r.load.ExpFloat64()*5800, 18_000)}, false, now, at)
		}
	}
	for n := plainPerSecond * scale; n > 0 && r.load.Float64() < n; n-- {
		r.attempt(c, replayRetry{len(streamShares) - 1, replayPlain}, false, now, at)
	}
	slot := int64(now / simTick)
	if c == r.customers[0] {
		for _, retry := range r.retries[slot] {
			r.attempt(c, retry, true, now, at)
		}
		delete(r.retries, slot)
	}
}

func (r *orderReplay) attempt(c *simCustomer, q replayRetry, retried bool, now time.Duration, at time.Time) {
	g := r.gatewayFor(c)
	if g < 0 {
		return
	}
	class := quotaorder.ClassOf(q.priority, q.cost, c.rate)
	counts := &r.classes[class]
	first := c == r.customers[0]
	surge := now >= surgeFrom && now < r.surgeTo
	if first && !retried && surge {
		counts.offered++
		counts.offeredCost += q.cost
		r.arrivals[int64((now-surgeFrom)/time.Second)] = append(r.arrivals[int64((now-surgeFrom)/time.Second)], q)
		r.byGateway[g][0] += q.cost
	}
	d := r.gateways[g].strategy.(orderedSimStrategy).admitRequest(c.name, simTerms(c, q.cost), q.priority, retried, at)
	if !d.Admitted {
		switch {
		case retried:
			counts.twice++
		case first:
			r.retryLater(q, d.RetryAfter, now)
			if !surge {
				r.afterwards++
			}
		}
		return
	}
	r.admitted(c, q, now, at)
	r.broadcastChanges(g, now, at)
	if !first || !surge {
		if first && retried {
			counts.lateAfter++
		}
		return
	}
	counts.admittedCost += q.cost
	r.byGateway[g][1] += q.cost
	if retried {
		counts.late++
	} else {
		counts.first++
	}
}

// retryLater has a client retry when it is told to, but no later than after a third of its time.
func (r *orderReplay) retryLater(q replayRetry, after time.Duration, now time.Duration) {
	timeout := streamTimeout
	if q.cost == replayPlain {
		timeout = plainTimeout
	}
	slot := int64((now + min(after, timeout/3)) / simTick)
	r.retries[slot] = append(r.retries[slot], q)
}

func (r *orderReplay) admitted(c *simCustomer, q replayRetry, now time.Duration, at time.Time) {
	checker := r.checkers[c.name]
	checker.actual.level(c.rate, c.burst, at)
	checker.actual.tokens -= q.cost
	checker.admitted = append(checker.admitted, simAdmission{now, q.cost})
}

// used is the part of the quota that the first customer used in the surge, without the burst.
func (r *orderReplay) used() float64 {
	sum := 0.0
	for _, c := range r.classes {
		sum += c.admittedCost
	}
	return sum / (r.customers[0].rate * (r.surgeTo - surgeFrom).Seconds())
}

// fairness is Jain's index of the admitted part of the demand at each gateway, weighted by the demand; one if all admit the
// same part.
func (r *orderReplay) fairness() float64 {
	sum, squares, weights := 0.0, 0.0, 0.0
	for _, g := range r.byGateway {
		if g[0] > 0 {
			x := g[1] / g[0]
			sum, squares, weights = sum+g[0]*x, squares+g[0]*x*x, weights+g[0]
		}
	}
	return sum * sum / max(weights*squares, 1e-9)
}

// oracle returns the requests served by class if all arrivals of each second were known at its start, with the same
// kept shares.
func (r *orderReplay) oracle() (served [quotaorder.NumClasses]int) {
	rate := r.customers[0].rate
	tokens := rate
	for second := range int64((r.surgeTo - surgeFrom) / time.Second) {
		tokens += rate
		list := slices.Clone(r.arrivals[second])
		classOf := func(q replayRetry) quotaorder.Class { return quotaorder.ClassOf(q.priority, q.cost, rate) }
		slices.SortStableFunc(list, func(a, b replayRetry) int {
			return cmp.Or(cmp.Compare(classOf(a), classOf(b)), cmp.Compare(a.cost, b.cost))
		})
		kept, done := map[quotaorder.Class]float64{}, make([]bool, len(list))
		for _, keptOnly := range []bool{true, false} {
			for i, q := range list {
				c := classOf(q)
				if done[i] || tokens <= 0 || keptOnly && kept[c] >= c.KeptShare()*rate {
					continue
				}
				kept[c] += q.cost
				tokens -= q.cost
				done[i] = true
				served[c]++
			}
		}
	}
	return served
}
