package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/quotaorder"
)

// These tests guard against a quota that is spent first come, first served: of a customer that sent eight times its quota,
// 57 of 276 streams and 122 of 771 plain calls were admitted in a second, whatever their priority.

var orderStrategies = []struct {
	name string
	make func(int, time.Time) simStrategy
}{{"first come", newFirstComeStrategy}, {"shares", newSharesStrategy}, {"thresholds", newOrderedStrategy}}

// orderLoad is one of the measured loads.
type orderLoad struct {
	name      string
	rates     []float64
	low, high float64
	length    time.Duration
	scenario  simScenario
}

var (
	sixSeconds = orderLoad{"3 to 7 times for 6 s", []float64{240_472}, 3, 7, 6 * seconds, simScenario{}}
	tenSeconds = orderLoad{"2 to 8 times for 10 s, clients move, all restart", []float64{66_347, 66_347}, 2, 8, 10 * seconds, simScenario{events: []simEvent{
		{from: surgeFrom + 3*seconds, to: simDuration, clientsMove: true}, {from: surgeFrom + 5*seconds, to: surgeFrom + 5500*time.Millisecond, down: 1},
		{from: surgeFrom + 7*seconds, to: simDuration, clientsMove: true},
	}}}
)

// orderResult is the mean of some runs.
type orderResult struct {
	classes                          [quotaorder.NumClasses]replayClass
	oracle                           [quotaorder.NumClasses]int
	used, fairness, slack, afterward float64
	runs                             int
}

func runOrder(l orderLoad, seeds uint64, make func(int, time.Time) simStrategy) *orderResult {
	res := &orderResult{runs: int(seeds)}
	for seed := range seeds {
		replayPhase = 0
		r := newOrderReplay(seed, l.scenario, l.rates, l.low, l.high, l.length, make)
		r.run()
		res.used += r.used() / float64(seeds)
		res.fairness += r.fairness() / float64(seeds)
		res.afterward += float64(r.afterwards) / float64(seeds)
		for _, c := range r.checkers {
			res.slack = max(res.slack, c.slackUsed())
		}
		served := r.oracle()
		for c, k := range r.classes {
			sum := &res.classes[c]
			sum.offered, sum.first, sum.late = sum.offered+k.offered, sum.first+k.first, sum.late+k.late
			sum.lateAfter, sum.twice, sum.admittedCost = sum.lateAfter+k.lateAfter, sum.twice+k.twice, sum.admittedCost+k.admittedCost
			res.oracle[c] += served[c]
		}
	}
	return res
}

// urgentShare is the part of the most urgent requests that are served at once, relative to the oracle.
func (r *orderResult) urgentShare() float64 {
	return float64(r.classes[0].first+r.classes[1].first) / float64(max(r.oracle[0]+r.oracle[1], 1))
}

// String lists the figures that docs/design/quota-order.md gives, per run.
func (r *orderResult) String() string {
	out := fmt.Sprintf("used %.3f, fairness %.3f, slack %.2f, rejected after %.0f, urgent %.2f", r.used, r.fairness, r.slack, r.afterward, r.urgentShare())
	for i, c := range r.classes {
		if c.offered > 0 {
			out += fmt.Sprintf("\n%s: offered %d, at once %d, retried %d and %d afterwards, rejected twice %d, oracle %d", quotaorder.Class(i),
				c.offered/r.runs, c.first/r.runs, c.late/r.runs, c.lateAfter/r.runs, c.twice/r.runs, r.oracle[i]/r.runs)
		}
	}
	return out
}

// TestQuotaSpentByPriority: the measured loads, against first come, first served and against an oracle.
func TestQuotaSpentByPriority(t *testing.T) {
	for _, l := range []orderLoad{sixSeconds, tenSeconds} {
		t.Run(l.name, func(t *testing.T) {
			before, got := runOrder(l, 2, newFirstComeStrategy), runOrder(l, 2, newOrderedStrategy)
			t.Log(before, got)
			assert.Check(t, got.urgentShare() >= 2*before.urgentShare())
			available := 1 + seconds.Seconds()/l.length.Seconds() // A burst is one second of the rate.
			assert.Check(t, got.used >= 0.95*available && got.used <= before.used)
			assert.Check(t, got.slack <= 0.1)
			assert.Check(t, got.fairness >= before.fairness)
			for i, c := range got.classes {
				assert.Check(t, c.offered == 0 || c.first+c.late+c.lateAfter > 0, "%v is starved", quotaorder.Class(i))
			}
			plain := got.classes[quotaorder.ClassOf(2, replayPlain, l.rates[0])]
			assert.Check(t, plain.first >= before.classes[4].first, "fewer plain calls")
		})
	}
}

// TestQuotaOrderUnderFaults: whatever reports are missing, the bucket remains the limit, and only the order is less exact.
func TestQuotaOrderUnderFaults(t *testing.T) {
	from, to := surgeFrom+seconds, surgeFrom+5*seconds
	for _, c := range []struct {
		name   string
		events []simEvent
		make   func(int, time.Time) simStrategy
		urgent float64
	}{
		{"silent gateways", []simEvent{{from: from, to: to, frozen: 0.1}}, newOrderedStrategy, 0.35},
		{"partitioned gateways", []simEvent{{from: from, to: to, partitioned: 0.35}}, newOrderedStrategy, 0.3},
		{"all restart", []simEvent{{from: from, to: from + 500*time.Millisecond, down: 1}}, newOrderedStrategy, 0.3},
		{"half of the gateways are of an earlier release", nil, mixedReleases(), 0.2},
		{"lost reports", nil, newLossyStrategy, 0.35},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := sixSeconds
			l.scenario.events = c.events
			got := runOrder(l, 2, c.make)
			t.Log(got)
			assert.Check(t, got.slack <= 0.1)
			assert.Check(t, got.urgentShare() >= c.urgent)
		})
	}
}

// mixedReleases makes every second gateway one of an earlier release.
func mixedReleases() func(int, time.Time) simStrategy {
	n := 0
	return func(gateways int, now time.Time) simStrategy {
		if n++; n%2 == 0 {
			return newFirstComeStrategy(gateways, now)
		}
		return newOrderedStrategy(gateways, now)
	}
}

// lossyStrategy loses every third message, and the classes in another third.
type lossyStrategy struct {
	orderedStrategy
	received *int
}

func newLossyStrategy(gateways int, now time.Time) simStrategy {
	return lossyStrategy{newOrderedStrategy(gateways, now).(orderedStrategy), new(int)}
}

func (s lossyStrategy) receive(from int, incarnation uint64, message any, now time.Time) {
	*s.received++
	m := message.(simReport)
	switch *s.received % 3 {
	case 0:
		return
	case 1:
		m.usages = slices.Clone(m.usages)
		for i := range m.usages {
			m.usages[i].Classes, m.usages[i].Ordered = nil, false
		}
	}
	s.orderedStrategy.receive(from, incarnation, m, now)
}

// TestOrderChangesNothingWithinQuota: while no request exceeds the quota, all decisions and the buckets are the same as
// without the order, also where the bucket is nearly empty; the first rejection is the same too.
func TestOrderChangesNothingWithinQuota(t *testing.T) {
	exceeded := 0
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 13))
		plain, ordered := informedQuotas(), informedQuotas().OrderQuotas(rng.Float64())
		now, interval := start, (45+rng.Float64()*30)*float64(time.Millisecond)
		for range 2000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * interval))
			terms := quota
			terms.Cost = []float64{2, 70, 200}[rng.IntN(3)] * rng.Float64()
			want := plain.Admit(customer, terms, now, nil)
			got := ordered.AdmitOrdered(customer, terms, rng.IntN(5), rng.IntN(4) == 0, now)
			if !want.Admitted {
				exceeded++
				assert.Assert(t, !got.Admitted)
				break
			}
			assert.DeepEqual(t, got, want)
			assert.Equal(t, ordered.accounts[customer].remaining, plain.accounts[customer].remaining)
		}
	}
	t.Logf("%d of 50 exceeded the quota", exceeded)
	assert.Assert(t, exceeded > 0 && exceeded < 50)
}

// TestOnePriorityIsNotOrdered: where all requests have one priority, the quota is spent as before.
func TestOnePriorityIsNotOrdered(t *testing.T) {
	plain, ordered := informedQuotas(), informedQuotas().OrderQuotas(0.5)
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		terms := quota
		terms.Cost = float64(5 + i%2*95)
		assert.DeepEqual(t, ordered.AdmitOrdered(customer, terms, 1, i%3 == 0, now), plain.Admit(customer, terms, now, nil))
	}
}

// TestOrderIsReported: the gateway that finds the bucket empty tells the others at once; each would admit anything until
// one of its own requests is rejected.
func TestOrderIsReported(t *testing.T) {
	a, b := informedQuotas().OrderQuotas(0), informedQuotas().OrderQuotas(0)
	urgent, late := quota, quota
	for range 6 {
		a.AdmitOrdered(customer, urgent, 0, false, start)
		a.AdmitOrdered(customer, late, 2, false, start)
	}
	assert.Assert(t, a.Ordered(customer) && a.UpdateDue(start))
	usages, informed := a.Report(true, start)
	assert.Assert(t, usages[0].Ordered && usages[0].Classes != nil)
	b.Receive("a", 1, informed, false, usages, start)
	b.Receive("a", 1, informed, false, usages, start)
	assert.Assert(t, b.Ordered(customer))
	later := start.Add(100 * time.Millisecond)
	b.accounts[customer].remaining = 40
	assert.Assert(t, !b.AdmitOrdered(customer, late, 2, false, later).Admitted)
	assert.Assert(t, b.AdmitOrdered(customer, urgent, 0, false, later).Admitted)
	states := b.States(later)[customer]
	assert.Assert(t, states.Ordered && len(states.Classes) == 2, "%v", states)
	faulty := ReportedDemand{math.NaN(), -1, math.Inf(1)}
	b.Receive("c", 1, true, false, []ReportedUsage{{Customer: customer, Classes: &faulty}}, later)
	assert.Assert(t, !math.IsNaN(b.accounts[customer].order.Demand(later.Add(seconds))[0]))
}

// TestOrderEndsWithoutRequests guards against an order that outlives its surge at a gateway that gets no requests
// meanwhile: it would reject the next ordinary requests below half of the bucket, and start the order elsewhere.
func TestOrderEndsWithoutRequests(t *testing.T) {
	a, b := informedQuotas().OrderQuotas(0), informedQuotas().OrderQuotas(0)
	for range 6 {
		a.AdmitOrdered(customer, quota, 0, false, start)
		a.AdmitOrdered(customer, quota, 2, false, start)
	}
	report := func(now time.Time) {
		usages, informed := a.Report(true, now)
		b.Receive("a", 1, informed, false, usages, now)
	}
	report(start)
	report(start)
	assert.Assert(t, b.Ordered(customer))
	later := start.Add(20 * seconds)
	assert.Assert(t, a.AdmitOrdered(customer, quota, 2, false, later).Admitted)
	report(later)
	assert.Assert(t, !b.Ordered(customer))
	b.accounts[customer].remaining = 0.02 * quota.Burst
	assert.Assert(t, b.AdmitOrdered(customer, quota, 2, false, later).Admitted)
	usages, _ := b.Report(true, later)
	assert.Assert(t, !usages[0].Ordered)
}

// BenchmarkQuotaOrders compares the ways to spend a quota, with the same arrivals; it logs the figures of each.
func BenchmarkQuotaOrders(b *testing.B) {
	for _, l := range []orderLoad{sixSeconds, tenSeconds} {
		for _, strategy := range orderStrategies {
			b.Run(l.name+"/"+strategy.name, func(b *testing.B) {
				for b.Loop() {
					b.Log(runOrder(l, 6, strategy.make))
				}
			})
		}
	}
}

func BenchmarkOrdered(b *testing.B) {
	for _, members := range []int{29, 410} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			s := informedQuotas().OrderQuotas(0.5)
			for i := range members {
				s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Demand: 50, Classes: &ReportedDemand{0, 40, 0, 40, 0, 40}}}, start)
			}
			terms := quota
			terms.Rate, terms.Burst = 1000, 1000
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.AdmitOrdered(customer, terms, i%3, false, start.Add(time.Duration(i)*time.Millisecond))
			}
		})
	}
}
