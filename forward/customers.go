package forward

import (
	"maps"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// customers tracks what customers hold of the memory of one service's decode engines. It is guarded by the lock of its
// engines. Requests without a customer, and all requests if the mechanism is off, are not tracked.
type customers struct {
	off     bool
	shares  *customershare.Pool
	metrics *metrics.Set
	// tenants are those whose weights were last set.
	tenants *route.Tenants
	// holders are the customers of the runs that are placed.
	holders map[*kvmemory.Run]string
	// yielded are the queued requests that have left memory to requests of other gateways.
	yielded map[*waitqueue.Waiter]bool
	// reordered is the number of requests served out of the order of arrival that was last counted.
	reordered int
}

func newCustomers(off mechanism.Set, m *metrics.Set) *customers {
	return &customers{
		off: off.Has(mechanism.CustomerShares), shares: customershare.New(), metrics: m,
		holders: map[*kvmemory.Run]string{}, yielded: map[*waitqueue.Waiter]bool{},
	}
}

// customerWeights returns the weights of the tenants: their quotas if these have the same unit. A quota in requests
// can't be compared with one in tokens; it then counts as none.
func customerWeights(tenants *route.Tenants) map[string]float64 {
	if tenants == nil {
		return nil
	}
	unit := route.Requests
	for _, t := range tenants.List() {
		if t.Quota.Rate > 0 && t.Quota.Unit == route.Tokens {
			unit = route.Tokens
		}
	}
	quotas := map[string]float64{}
	for _, t := range tenants.List() {
		quotas[t.Name] = 0
		if t.Quota.Unit == unit {
			quotas[t.Name] = t.Quota.Rate
		}
	}
	return customershare.Weights(quotas)
}

// configure sets the weights of a configuration's tenants.
func (c *customers) configure(tenants *route.Tenants) {
	if tenants != c.tenants {
		c.tenants = tenants
		c.shares.SetWeights(customerWeights(tenants))
	}
}

// customerOf returns the customer by whose share a request is ordered; empty if the configuration has no customers or
// the mechanism is off.
func (e *engines) customerOf(j *job) string {
	if j.table.Tenants == nil || e.customers.off {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.customers.configure(j.table.Tenants)
	if j.tenant == nil {
		return customershare.Anonymous
	}
	return j.tenant.Name
}

// wait records that a request begins to wait (sign 1) or ceases to (sign -1). Late requests don't count: none yields to
// them.
func (c *customers) wait(w *waitqueue.Waiter, sign int) {
	if sign < 0 {
		delete(c.yielded, w)
	}
	if w.Customer != "" && !w.Late {
		c.shares.AddWaiting(customershare.Waiting{Customer: w.Customer, Priority: w.Priority}, sign*w.Need)
	}
}

// yields reports whether a request leaves memory to requests that wait at other gateways.
func (c *customers) yields(w *waitqueue.Waiter) bool {
	if w.Customer == "" || !c.shares.Yields(w.Customer, w.Priority) {
		return false
	}
	if !c.yielded[w] {
		c.yielded[w] = true
		c.metrics.Counter(metrics.ShareYields).Inc(1)
	}
	return true
}

// place records that a run is placed.
func (c *customers) place(w *waitqueue.Waiter, r *kvmemory.Run) {
	c.wait(w, -1)
	if w.Customer != "" {
		c.holders[r] = w.Customer
		c.shares.Add(w.Customer, r.Need)
	}
}

// release records that a run is no longer placed.
func (c *customers) release(r *kvmemory.Run) {
	if customer, ok := c.holders[r]; ok {
		delete(c.holders, r)
		c.shares.Add(customer, -r.Need)
	}
}

// countReordered counts the requests that were served out of the order of arrival.
func (c *customers) countReordered(total int) {
	c.metrics.Counter(metrics.ShareReorders).Inc(int64(total - c.reordered))
	c.reordered = total
}

// countWait counts a request that waits for memory.
func (c *customers) countWait(w *waitqueue.Waiter) {
	reason := metrics.MemoryShort
	if w.Customer != "" && c.shares.OverShare(w.Customer) {
		reason = metrics.MemoryOverShare
	}
	c.metrics.MemoryWait(reason)
}

// addFigures adds what this gateway's requests hold and wait for.
func (c *customers) addFigures(service string, out customershare.Figures) {
	held, waiting := c.shares.Own()
	for customer, tokens := range held {
		out[customershare.Key{Pool: service, Customer: customer}] = tokens
	}
	for w, tokens := range waiting {
		out[customershare.Key{Pool: service, Customer: w.Customer, Waiting: true, Priority: w.Priority}] = tokens
	}
}

// Holding is what a customer holds of the memory of a service's decode engines at all gateways, in tokens.
type Holding struct {
	Held, Waiting int
	// Share is the memory up to which its requests yield to none; that of all customers while no request waits.
	Share int
	// Weight is relative to the mean of all customers.
	Weight float64
}

func (c *customers) holding(customer string) Holding {
	held, weight := c.shares.Holding(customer)
	total, waiting := c.shares.Total(customer)
	return Holding{Held: int(held), Waiting: waiting, Weight: weight, Share: int(min(c.shares.Share(customer), float64(total)))}
}

// shortage is why a request was rejected for lack of memory.
type shortage struct {
	// expected is how long the requests ahead of it will take; zero if that is unknown.
	expected  time.Duration
	overShare bool
}

// shortage returns why a request with a customer is rejected for lack of memory, and what its customer holds.
func (e *engines) shortage(w *waitqueue.Waiter, hold time.Duration) (shortage, Holding) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := shortage{overShare: e.customers.shares.OverShare(w.Customer)}
	if rate := e.memory.ExpectedTokens(); rate > 0 {
		s.expected = time.Duration(float64(e.queue.Ahead(w)) / rate * float64(hold))
	}
	return s, e.customers.holding(w.Customer)
}

// shortLogInterval is the interval between two log lines that say that a customer is short of memory.
const shortLogInterval = 10 * time.Second

// memoryRejected records that a request is rejected for lack of memory.
func (f *Forwarder) memoryRejected(j *job, w *waitqueue.Waiter, reason metrics.MemoryReason) {
	if w.Customer == "" {
		f.Metrics.MemoryRejection(reason)
		return
	}
	s, h := f.service(j.service).engines.shortage(w, f.holdTime(j))
	j.shortage = &s
	if s.overShare {
		reason += metrics.OverShareSuffix
	}
	f.Metrics.MemoryRejection(reason)
	if f.shortLogDue(w.Customer, time.Now()) {
		event.CustomerShort.Log(f.Log).Str("customer", w.Customer).Str("service", j.service).Int("held", h.Held).Int("share", h.Share).
			Int("waiting", h.Waiting).Float64("weight", h.Weight).Msg("")
	}
}

// shortLogDue reports whether it is to be logged that a customer is short of memory.
func (f *Forwarder) shortLogDue(customer string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.shortLogged[customer]; ok && now.Sub(at) < shortLogInterval {
		return false
	}
	maps.DeleteFunc(f.shortLogged, func(_ string, at time.Time) bool { return now.Sub(at) >= shortLogInterval })
	f.shortLogged[customer] = now
	return true
}

// serviceEngines returns the engines of all services.
func (f *Forwarder) serviceEngines() map[string]*engines {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*engines, len(f.services))
	for name, s := range f.services {
		out[name] = s.engines
	}
	return out
}

// CustomerMemory returns what the requests of this process hold and wait for, by customer; nil if there are none.
func (f *Forwarder) CustomerMemory() []customershare.Figure { return f.customerFigures().Largest() }

// TakeChangedCustomerMemory returns the part of CustomerMemory that has changed by enough since the last call.
func (f *Forwarder) TakeChangedCustomerMemory() []customershare.Figure {
	figures := f.customerFigures()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.customerReporter.Changes(figures)
}

func (f *Forwarder) customerFigures() customershare.Figures {
	out := customershare.Figures{}
	for name, e := range f.serviceEngines() {
		e.mu.Lock()
		e.customers.addFigures(name, out)
		e.mu.Unlock()
	}
	return out
}

// SetPeerCustomerMemory takes what the requests of all other processes hold and wait for.
func (f *Forwarder) SetPeerCustomerMemory(figures customershare.Figures) {
	held, waiting := map[string]map[string]int{}, map[string]map[customershare.Waiting]int{}
	for k, tokens := range figures {
		if !k.Waiting {
			put(held, k.Pool, k.Customer, tokens)
			continue
		}
		put(waiting, k.Pool, customershare.Waiting{Customer: k.Customer, Priority: k.Priority}, tokens)
	}
	for name, e := range f.serviceEngines() {
		e.mu.Lock()
		e.customers.shares.SetPeers(held[name], waiting[name])
		e.mu.Unlock()
	}
}

// put sets m[pool][k], making the inner map if there is none.
func put[K comparable](m map[string]map[K]int, pool string, k K, tokens int) {
	if m[pool] == nil {
		m[pool] = map[K]int{}
	}
	m[pool][k] = tokens
}

// CustomerHolding returns what a customer holds and its share, added over all services.
func (f *Forwarder) CustomerHolding(customer string) Holding {
	var sum Holding
	for _, e := range f.serviceEngines() {
		e.mu.Lock()
		h := e.customers.holding(customer)
		e.mu.Unlock()
		sum.Held, sum.Waiting, sum.Share, sum.Weight = sum.Held+h.Held, sum.Waiting+h.Waiting, sum.Share+h.Share, h.Weight
	}
	return sum
}
