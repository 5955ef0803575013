package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simStrategy is one way to enforce quotas.
type simStrategy interface {
	admit(customer string, t Terms, now time.Time) bool
	// report returns the message to the others, for a datagram or a report.
	report(changes bool, now time.Time) any
	receive(from int, incarnation uint64, message any, now time.Time)
	checkMembers(now time.Time)
}

// sharedQuotas is what strategies with a replicated bucket have.
type sharedQuotas interface {
	Configure(customer string, t Terms, now time.Time)
	MarkUnresponsive(source string, now time.Time)
}

// sharedStrategy is the strategy in use.
type sharedStrategy struct{ *SharedQuotas }

func newSharedStrategy(gateways int, now time.Time) simStrategy {
	s := NewSharedQuotas(now)
	s.SetReportInterval(simReportInterval(gateways))
	return sharedStrategy{s}
}

type simReport struct {
	usages        []ReportedUsage
	informed, all bool
}

func (s sharedStrategy) admit(customer string, t Terms, now time.Time) bool {
	return s.Admit(customer, t, now, nil).Admitted
}

func (s sharedStrategy) report(changes bool, now time.Time) any {
	if changes && !s.UpdateDue(now) {
		return nil
	}
	usages, informed := s.Report(changes, now)
	return simReport{usages, informed, !changes}
}

func (s sharedStrategy) receive(from int, incarnation uint64, message any, now time.Time) {
	m := message.(simReport)
	s.Receive(fmt.Sprint(from), incarnation, m.informed, m.all, m.usages, now)
}

func (s sharedStrategy) checkMembers(now time.Time) { s.CheckMembers(now) }

// evenStrategy gives each gateway an equal share.
type evenStrategy struct{ Limiter }

func newEvenStrategy(gateways int, _ time.Time) simStrategy {
	l, _ := New(Static, gateways) // The name is known.
	return evenStrategy{l}
}

func (s evenStrategy) admit(customer string, t Terms, now time.Time) bool {
	return s.Admit(customer, t, now, nil).Admitted
}
func (evenStrategy) report(bool, time.Time) any          { return nil }
func (evenStrategy) receive(int, uint64, any, time.Time) {}
func (evenStrategy) checkMembers(time.Time)              {}

// demandStrategy admits in proportion to the demand of all, which gateways report to each other.
type demandStrategy struct {
	offered map[string]*rateMeter
	buckets map[string]*bucket
	others  map[int]simDemand
	rng     *rand.Rand
}

type simDemand struct {
	at    time.Time
	rates map[string]float64
}

func newDemandStrategy(int, time.Time) simStrategy {
	return &demandStrategy{offered: map[string]*rateMeter{}, buckets: map[string]*bucket{}, others: map[int]simDemand{}, rng: newRand()}
}

func (s *demandStrategy) admit(customer string, t Terms, now time.Time) bool {
	if s.offered[customer] == nil {
		s.offered[customer], s.buckets[customer] = &rateMeter{}, &bucket{}
	}
	s.offered[customer].add(t.Cost, now)
	sum := s.offered[customer].rate(now)
	for _, o := range s.others {
		if now.Sub(o.at) < loadTTL {
			sum += o.rates[customer]
		}
	}
	if sum > t.Rate && s.rng.Float64()*sum >= t.Rate {
		return false
	}
	return s.buckets[customer].take(t.Cost, t.Rate, max(t.Burst, t.Cost), now) == 0
}

func (s *demandStrategy) report(changes bool, now time.Time) any {
	if changes {
		return nil
	}
	m := simDemand{rates: map[string]float64{}}
	for name, o := range s.offered {
		m.rates[name] = o.rate(now)
	}
	return m
}

func (s *demandStrategy) receive(from int, _ uint64, message any, now time.Time) {
	m := message.(simDemand)
	m.at = now
	s.others[from] = m
}
func (*demandStrategy) checkMembers(time.Time) {}

// leaseStrategy assigns shares of the quota that follow demand and whose sum never exceeds it. A gateway uses the share
// that follows from the reports of all, and shares grow only once all have reported that they know the others' demand:
// here, after the longest delay of a report. A gateway that receives fewer reports keeps the smallest share that it
// had.
type leaseStrategy struct {
	demandStrategy
	gateways int
	shares   map[string]float64
	since    map[string]time.Time
}

func newLeaseStrategy(gateways int, now time.Time) simStrategy {
	d := newDemandStrategy(gateways, now).(*demandStrategy)
	return &leaseStrategy{demandStrategy: *d, gateways: gateways, shares: map[string]float64{}, since: map[string]time.Time{}}
}

func (s *leaseStrategy) admit(customer string, t Terms, now time.Time) bool {
	if s.offered[customer] == nil {
		s.offered[customer], s.buckets[customer] = &rateMeter{}, &bucket{}
	}
	s.offered[customer].add(t.Cost, now)
	share := s.share(customer, now)
	return s.buckets[customer].takeIntoDebt(t.Cost, t.Rate*share, t.Burst*share, now)
}

// share is an eighth by the number of gateways, the rest by demand; a gateway without reports of all keeps its last
// share.
func (s *leaseStrategy) share(customer string, now time.Time) float64 {
	const even = 0.125
	own := s.offered[customer].rate(now)
	sum, reporting := own, 1
	for _, o := range s.others {
		sum += o.rates[customer]
		if now.Sub(o.at) < 2*simReportInterval(s.gateways) {
			reporting++
		}
	}
	want := 1 / float64(s.gateways)
	if sum > 0 {
		want = even/float64(s.gateways) + (1-even)*own/sum
	}
	old, ok := s.shares[customer]
	if !ok {
		old = 1 / float64(s.gateways)
	}
	// A larger share is used once the smaller ones of others are in force.
	if want <= old || reporting < s.gateways {
		s.shares[customer], s.since[customer] = min(want, old), now
	} else if now.Sub(s.since[customer]) >= simReportInterval(s.gateways) {
		s.shares[customer], s.since[customer] = want, now
	}
	return s.shares[customer]
}

// level refills a bucket up to now and returns its tokens.
func (b *bucket) level(rate, burst float64, now time.Time) float64 {
	if b.at.IsZero() {
		b.tokens, b.at = burst, now
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.at).Seconds(), burst)
	b.at = now
	return b.tokens
}

// takeIntoDebt takes tokens while there are any; the excess is a debt.
func (b *bucket) takeIntoDebt(cost, rate, burst float64, now time.Time) bool {
	if b.level(rate, burst, now) <= 0 {
		return false
	}
	b.tokens -= cost
	return true
}
