package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// quotas hold customers to what they may use of all gateways together. It joins policy/limit to clocks and is safe for
// concurrent use.
type quotas struct {
	log *log.Logger
	// changed is sent to when other gateways are to be told at once.
	changed chan struct{}

	mu     sync.Mutex
	shared *limit.SharedQuotas
	// noted is when it was last logged that a customer's quota was used up, silent the number of gateways that was last
	// logged as not heard.
	noted  map[string]time.Time
	silent int
}

// usedUpEvery is the pause between two lines of the log that tell that a customer's quota is used up.
const usedUpEvery = 10 * time.Second

func newQuotas(l *log.Logger, now time.Time) *quotas {
	return &quotas{log: l, changed: make(chan struct{}, 1), shared: limit.NewSharedQuotas(now), noted: map[string]time.Time{}}
}

// termsOf are the terms of a customer's quota for a request of some cost.
func termsOf(q route.Quota, cost float64) limit.Terms {
	return limit.Terms{Rate: q.Rate, Burst: q.Burst, Cost: cost}
}

// configure takes the quotas of a configuration.
func (q *quotas) configure(tenants *route.Tenants) {
	q.mu.Lock()
	defer q.mu.Unlock()
	names := map[string]bool{}
	if tenants != nil {
		for _, t := range tenants.List() {
			names[t.Name] = true
			if t.Quota.Rate > 0 {
				q.shared.Configure(t.Name, termsOf(t.Quota, 0), time.Now())
			}
		}
	}
	q.shared.Retain(func(customer string) bool { return names[customer] })
	maps.DeleteFunc(q.noted, func(customer string, _ time.Time) bool { return !names[customer] })
}

// Take implements forward.Quota.
func (q *quotas) Take(customer string, quota route.Quota, cost float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	d := q.shared.Admit(customer, termsOf(quota, cost), now, nil)
	if !d.Admitted {
		q.noteUsedUp(customer, now)
	}
	q.tellIfDue()
	return d.RetryAfter, d.Admitted
}

// noteUsedUp logs that a quota is used up, now and then. The caller holds mu.
func (q *quotas) noteUsedUp(customer string, now time.Time) {
	if at, ok := q.noted[customer]; ok && now.Sub(at) < usedUpEvery {
		return
	}
	q.noted[customer] = now
	s := q.shared.States(now)[customer]
	event.QuotaUsed.Log(q.log).Str("customer", customer).Float64("left", s.Remaining).Float64("rate", s.Rate).
		Float64("burst", s.Burst).Float64("apart", s.ReservedShare).Msg("")
}

// Return implements forward.Quota.
func (q *quotas) Return(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.Return(customer, cost, time.Now())
	q.tellIfDue()
}

// tellIfDue has other gateways told of what is worth it. The caller holds mu.
func (q *quotas) tellIfDue() {
	if q.shared.UpdateDue(time.Now()) {
		wake(q.changed)
	}
}

// tell returns what other gateways are told: what has changed since, or all that is active. It is nil if there is nothing.
func (q *quotas) tell(changes bool) *peer.Usages {
	q.mu.Lock()
	told, informed := q.shared.Report(changes, time.Now())
	q.mu.Unlock()
	return encodeUsages(told, informed)
}

// hear takes what a gateway told in a report, which names all that is active there, or in a datagram. One that tells
// nothing was heard all the same.
func (q *quotas) hear(addr string, incarnation uint64, all bool, u *peer.Usages) {
	told := decodeUsages(u)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.Receive(addr, incarnation, u.GetInformed(), all, told, time.Now())
}

// followQuotas looks for gateways that have fallen silent until ctx ends.
func (s *Service) followQuotas(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, limit.MemberCheckInterval)
		s.quotas.refresh(s.peers.ExchangeInterval())
		s.fwd.ServerLimits().CheckMembers(s.view.Routers(), s.peers.ExchangeInterval())
	}
}

func (q *quotas) refresh(pace time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.SetReportInterval(pace)
	q.shared.CheckMembers(time.Now())
	q.tellIfDue()
	if silent := q.shared.UnresponsiveMembers(); silent != q.silent {
		q.silent = silent
		event.QuotaReserved.Log(q.log).Int("silent", silent).Msg("")
	}
}

// silentNow is the number of gateways that are not heard.
func (q *quotas) silentNow() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.shared.UnresponsiveMembers())
}

// states returns what is known of the quotas of customers.
func (q *quotas) states() map[string]limit.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shared.States(time.Now())
}

// lost notes that a gateway does not answer.
func (q *quotas) lost(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.MarkUnresponsive(addr, time.Now())
}
