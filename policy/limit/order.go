package limit

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/quotaorder"
)

// ReportedDemand is the demand of one customer at one process by class, in units per second.
type ReportedDemand = quotaorder.Demand

// OrderQuotas has quotas spent in the order of package quotaorder where AdmitOrdered decides. The phase is in [0, 1) and
// differs between processes.
func (s *SharedQuotas) OrderQuotas(phase float64) *SharedQuotas {
	s.ordered, s.orderPhase = true, phase
	return s
}

// AdmitOrdered decides like Admit, but while the demand exceeds the quota in the order of the requests' classes. Retried
// is set if the client retries after a rejection.
func (s *SharedQuotas) AdmitOrdered(customer string, t Terms, priority int, retried bool, now time.Time) Decision {
	if t.Rate <= 0 || !s.ordered {
		return s.Admit(customer, t, now, nil)
	}
	a := s.account(customer, t, now)
	order := s.orderOf(a)
	r := quotaorder.Request{Class: quotaorder.ClassOf(priority, t.cost(), t.Rate), Cost: t.cost(), Retried: retried}
	level := s.level(a, now)
	wasActive := order.Active()
	verdict := order.Decide(r, level, now)
	s.updatePending = s.updatePending || order.Active() && !wasActive
	if verdict != quotaorder.Rejected {
		return s.Admit(customer, t, now, nil)
	}
	a.offered.add(r.Cost, now)
	a.lastActive = now
	return rejected(outcome.RateLimited, order.RetryAfter(r, level, now)+retryMargin)
}

// orderOf returns the order of a customer's requests, created on first use.
func (s *SharedQuotas) orderOf(a *account) *quotaorder.Order {
	if a.order == nil {
		a.order = quotaorder.New(s.orderPhase)
	}
	return a.order
}

// Ordered reports whether a customer's quota is spent in the order of classes at present.
func (s *SharedQuotas) Ordered(customer string) bool {
	a := s.accounts[customer]
	return a != nil && a.order != nil && a.order.Active()
}

// level returns the level of the bucket without what is reserved for others.
func (s *SharedQuotas) level(a *account, now time.Time) quotaorder.Level {
	return quotaorder.Level{Remaining: a.remaining - s.startupReserve(a, now), Burst: a.burst * a.usableShare(), Rate: a.rate * a.usableShare()}
}

// demandByClass returns the demand by class to be reported; nil unless the quota is nearly exhausted, since nobody needs
// it then.
func (s *SharedQuotas) demandByClass(a *account, now time.Time) *ReportedDemand {
	if a.order == nil || now.Sub(a.nearlyExhaustedAt) >= heartbeatsContinueFor {
		return nil
	}
	d := a.order.Own(now)
	return &d
}

// observeDemand records the demand that a member reports, by class if it does, and starts the order if it applies there.
// Nothing is kept while the quota is not nearly exhausted, which is the case of most customers.
func (s *SharedQuotas) observeDemand(a *account, source string, r ReportedUsage, now time.Time) {
	if !s.ordered || a.order == nil && r.Classes == nil {
		return
	}
	order := s.orderOf(a)
	order.EndAt(s.level(a, now))
	if !a.nearlyExhausted() {
		order.ForgetPeers()
		return
	}
	order.SetPeer(source, r.Classes, r.Demand, now)
	if r.Ordered {
		order.Start(s.level(a, now))
	}
}

// ClassState is the local state of one class of a customer's requests.
type ClassState struct {
	Class quotaorder.Class
	// Demand is that of all processes that respond, in units per second. AdmittedShare is the part of the demand here that
	// was admitted here.
	Demand, AdmittedShare float64
}

// classStates returns the classes that have any demand, and whether their order applies.
func (a *account) classStates(now time.Time) (classes []ClassState, ordered bool) {
	if a.order == nil {
		return nil, false
	}
	demand := a.order.Demand(now)
	for i, v := range demand {
		if c := quotaorder.Class(i); v >= minReportedDemand {
			classes = append(classes, ClassState{Class: c, Demand: v, AdmittedShare: a.order.AdmittedShare(c, now)})
		}
	}
	return classes, a.order.Active()
}

// minReportedDemand is the demand per second below which a class is not shown.
const minReportedDemand = 0.01
