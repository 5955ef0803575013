package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// quotas enforce customers' quotas across all gateways. They connect policy/limit to clocks and are safe for
// concurrent use.
type quotas struct {
	log *log.Logger
	// changed is sent to when other gateways are to receive an update at once.
	changed chan struct{}

	mu     sync.Mutex
	shared *limit.SharedQuotas
	// lastLogged is when it was last logged that a customer's quota is used up, unresponsive the last logged number
	// of gateways that do not report.
	lastLogged   map[string]time.Time
	unresponsive int
	// orders logs and counts what the order of classes rejects.
	orders quotaOrders
}

// usedUpLogInterval is the interval between two log lines that say that a customer's quota is used up.
const usedUpLogInterval = 10 * time.Second

func newQuotas(l *log.Logger, m *metrics.Set, off mechanism.Set, now time.Time) *quotas {
	q := &quotas{
		log: l, changed: make(chan struct{}, 1), shared: limit.NewSharedQuotas(now), lastLogged: map[string]time.Time{},
		orders: quotaOrders{log: l, metrics: m, lastLogged: map[string]time.Time{}},
	}
	if !off.Has(mechanism.QuotaOrder) {
		q.shared.OrderQuotas(rand.Float64())
	}
	return q
}

// quotaTerms returns the terms of a customer's quota for a request of some cost.
func quotaTerms(q route.Quota, cost float64) limit.Terms {
	return limit.Terms{Rate: q.Rate, Burst: q.Burst, Cost: cost}
}

// configure applies the quotas of a configuration.
func (q *quotas) configure(tenants *route.Tenants) {
	q.mu.Lock()
	defer q.mu.Unlock()
	names := map[string]bool{}
	if tenants != nil {
		for _, t := range tenants.List() {
			names[t.Name] = true
			if t.Quota.Rate > 0 {
				q.shared.Configure(t.Name, quotaTerms(t.Quota, 0), time.Now())
			}
		}
	}
	q.shared.Retain(func(customer string) bool { return names[customer] })
	maps.DeleteFunc(q.lastLogged, func(customer string, _ time.Time) bool { return !names[customer] })
	q.orders.retain(names)
}

// Take implements forward.Quota.
func (q *quotas) Take(customer string, quota route.Quota, r forward.QuotaRequest) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	d := q.shared.AdmitOrdered(customer, quotaTerms(quota, r.Cost), r.Priority, r.Retried, now)
	if !d.Admitted {
		q.logUsedUp(customer, now)
		q.orders.rejected(customer, r, q.shared, now)
	}
	q.announceIfDue()
	return d.RetryAfter, d.Admitted
}

// logUsedUp logs that a quota is used up, at most once per usedUpLogInterval. The caller holds mu.
func (q *quotas) logUsedUp(customer string, now time.Time) {
	if at, ok := q.lastLogged[customer]; ok && now.Sub(at) < usedUpLogInterval {
		return
	}
	q.lastLogged[customer] = now
	s := q.shared.States(now)[customer]
	event.QuotaUsed.Log(q.log).Str("customer", customer).Float64("left", s.Remaining).Float64("rate", s.Rate).
		Float64("burst", s.Burst).Float64("apart", s.ReservedShare).Msg("")
}

// Return implements forward.Quota.
func (q *quotas) Return(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.Return(customer, cost, time.Now())
	q.announceIfDue()
}

// announceIfDue has an update sent to the other gateways if one is due. The caller holds mu.
func (q *quotas) announceIfDue() {
	if q.shared.UpdateDue(time.Now()) {
		notify.Send(q.changed)
	}
}

// report returns what to report to other gateways: the changes since the last report, or all active customers. It is
// nil if there is nothing to report.
func (q *quotas) report(changesOnly bool) *peer.Usages {
	q.mu.Lock()
	usages, informed := q.shared.Report(changesOnly, time.Now())
	q.mu.Unlock()
	return encodeUsages(usages, informed)
}

// receive applies the usage that a gateway reports: all its active customers in a report, some in a datagram. A
// gateway that reports no usage still counts as responsive.
func (q *quotas) receive(addr string, incarnation uint64, all bool, u *peer.Usages) {
	usages := decodeUsages(u)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.Receive(addr, incarnation, u.GetInformed(), all, usages, time.Now())
}

// refreshQuotas checks for gateways that have become unresponsive, until ctx ends.
func (s *Service) refreshQuotas(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, limit.MemberCheckInterval)
		s.quotas.refresh(s.peers.ExchangeInterval())
		s.fwd.ServerLimits().CheckMembers(s.view.Routers(), s.peers.ExchangeInterval())
	}
}

func (q *quotas) refresh(interval time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.SetReportInterval(interval)
	q.shared.CheckMembers(time.Now())
	q.announceIfDue()
	if unresponsive := q.shared.UnresponsiveMembers(); unresponsive != q.unresponsive {
		q.unresponsive = unresponsive
		event.QuotaReserved.Log(q.log).Int("silent", unresponsive).Msg("")
	}
}

// unresponsiveGateways is the number of gateways that do not report.
func (q *quotas) unresponsiveGateways() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.shared.UnresponsiveMembers())
}

// states returns the local state of the customers' quotas.
func (q *quotas) states() map[string]limit.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shared.States(time.Now())
}

// markUnresponsive records that a gateway does not respond.
func (q *quotas) markUnresponsive(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shared.MarkUnresponsive(addr, time.Now())
}
