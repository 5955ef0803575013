package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simWay is one way to hold quotas.
type simWay interface {
	admit(customer string, t Terms, now time.Time) bool
	// tell returns what is sent to the others in a datagram or a report.
	tell(changes bool, now time.Time) any
	hear(from int, incarnation uint64, message any, now time.Time)
	refresh(now time.Time)
}

// sharedWay is the one that is kept.
type sharedWay struct{ *SharedQuotas }

func newSharedWay(gateways int, now time.Time) simWay {
	s := NewSharedQuotas(now)
	s.SetReportInterval(simPace(gateways))
	return sharedWay{s}
}

type simTold struct {
	told          []ReportedUsage
	informed, all bool
}

func (w sharedWay) admit(customer string, t Terms, now time.Time) bool {
	return w.Admit(customer, t, now, nil).Admitted
}

func (w sharedWay) tell(changes bool, now time.Time) any {
	if changes && !w.UpdateDue(now) {
		return nil
	}
	told, informed := w.Report(changes, now)
	return simTold{told, informed, !changes}
}

func (w sharedWay) hear(from int, incarnation uint64, message any, now time.Time) {
	m := message.(simTold)
	w.Receive(fmt.Sprint(from), incarnation, m.informed, m.all, m.told, now)
}

func (w sharedWay) refresh(now time.Time) { w.CheckMembers(now) }

// evenWay gives each gateway its even part.
type evenWay struct{ Limiter }

func newEvenWay(gateways int, _ time.Time) simWay {
	l, _ := New(Static, gateways) // The name is known.
	return evenWay{l}
}

func (w evenWay) admit(customer string, t Terms, now time.Time) bool {
	return w.Admit(customer, t, now, nil).Admitted
}
func (evenWay) tell(bool, time.Time) any         { return nil }
func (evenWay) hear(int, uint64, any, time.Time) {}
func (evenWay) refresh(time.Time)                {}

// demandWay admits in proportion to the demand of all, which gateways tell each other.
type demandWay struct {
	offered map[string]*meter
	buckets map[string]*bucket
	others  map[int]simDemand
	rng     *rand.Rand
}

type simDemand struct {
	at    time.Time
	rates map[string]float64
}

func newDemandWay(int, time.Time) simWay {
	return &demandWay{offered: map[string]*meter{}, buckets: map[string]*bucket{}, others: map[int]simDemand{}, rng: source()}
}

func (w *demandWay) admit(customer string, t Terms, now time.Time) bool {
	if w.offered[customer] == nil {
		w.offered[customer], w.buckets[customer] = &meter{}, &bucket{}
	}
	w.offered[customer].add(t.Cost, now)
	sum := w.offered[customer].rate(now)
	for _, o := range w.others {
		if now.Sub(o.at) < echoLife {
			sum += o.rates[customer]
		}
	}
	if sum > t.Rate && w.rng.Float64()*sum >= t.Rate {
		return false
	}
	return w.buckets[customer].take(t.Cost, t.Rate, max(t.Burst, t.Cost), now) == 0
}

func (w *demandWay) tell(changes bool, now time.Time) any {
	if changes {
		return nil
	}
	m := simDemand{rates: map[string]float64{}}
	for name, o := range w.offered {
		m.rates[name] = o.rate(now)
	}
	return m
}

func (w *demandWay) hear(from int, _ uint64, message any, now time.Time) {
	m := message.(simDemand)
	m.at = now
	w.others[from] = m
}
func (*demandWay) refresh(time.Time) {}

// leaseWay hands out shares of the quota that follow demand and whose sum never passes it. A gateway uses the share that
// follows from what all told, and shares grow only once all have told that they know the others' demand: here, after the
// longest that a report takes. Who hears less than all keeps the least share that it had.
type leaseWay struct {
	demandWay
	gateways int
	known    map[string]float64
	since    map[string]time.Time
}

func newLeaseWay(gateways int, now time.Time) simWay {
	d := newDemandWay(gateways, now).(*demandWay)
	return &leaseWay{demandWay: *d, gateways: gateways, known: map[string]float64{}, since: map[string]time.Time{}}
}

func (w *leaseWay) admit(customer string, t Terms, now time.Time) bool {
	if w.offered[customer] == nil {
		w.offered[customer], w.buckets[customer] = &meter{}, &bucket{}
	}
	w.offered[customer].add(t.Cost, now)
	share := w.share(customer, now)
	return w.buckets[customer].takeOwing(t.Cost, t.Rate*share, t.Burst*share, now)
}

// share is an eighth by number, the rest by demand; what is not heard of keeps what it had.
func (w *leaseWay) share(customer string, now time.Time) float64 {
	const even = 0.125
	own := w.offered[customer].rate(now)
	sum, heard := own, 1
	for _, o := range w.others {
		sum += o.rates[customer]
		if now.Sub(o.at) < 2*simPace(w.gateways) {
			heard++
		}
	}
	want := 1 / float64(w.gateways)
	if sum > 0 {
		want = even/float64(w.gateways) + (1-even)*own/sum
	}
	old, ok := w.known[customer]
	if !ok {
		old = 1 / float64(w.gateways)
	}
	// A larger share is used once the smaller ones of others are in force.
	if want <= old || heard < w.gateways {
		w.known[customer], w.since[customer] = min(want, old), now
	} else if now.Sub(w.since[customer]) >= simPace(w.gateways) {
		w.known[customer], w.since[customer] = want, now
	}
	return w.known[customer]
}

// level brings a bucket up to now and returns what is in it.
func (b *bucket) level(rate, burst float64, now time.Time) float64 {
	if b.at.IsZero() {
		b.tokens, b.at = burst, now
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.at).Seconds(), burst)
	b.at = now
	return b.tokens
}

// takeOwing takes tokens while there are any; what is taken beyond is owed.
func (b *bucket) takeOwing(cost, rate, burst float64, now time.Time) bool {
	if b.level(rate, burst, now) <= 0 {
		return false
	}
	b.tokens -= cost
	return true
}
