package gateway

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// customerKey identifies a figure of a peer.CustomerMemory.
type customerKey struct {
	tag      customershare.Tag
	waiting  bool
	priority int
}

// customerTokens are figures of customers' memory, in tokens.
type customerTokens map[customerKey]int

// encodeCustomerMemory returns nil if there is nothing to report.
func encodeCustomerMemory(figures []customershare.Figure) *peer.CustomerMemory {
	if len(figures) == 0 {
		return nil
	}
	out := &peer.CustomerMemory{}
	for _, f := range figures {
		tag, tokens := uint32(customershare.TagOf(f.Pool, f.Customer)), uint32(max(f.Tokens, 0))
		if !f.Waiting {
			out.Holders, out.Held = append(out.Holders, tag), append(out.Held, tokens)
			continue
		}
		out.Waiters, out.Waiting = append(out.Waiters, tag), append(out.Waiting, tokens)
		out.Priorities = append(out.Priorities, uint32(max(f.Priority, 0)))
	}
	return out
}

// decodeCustomerMemory drops what a faulty process may report: figures without a tag, and more of them than fit.
func decodeCustomerMemory(m *peer.CustomerMemory) customerTokens {
	if m == nil {
		return nil
	}
	out := customerTokens{}
	for i := range min(len(m.GetHolders()), len(m.GetHeld()), customershare.MaxFigures) {
		out[customerKey{tag: customershare.Tag(m.GetHolders()[i])}] = int(m.GetHeld()[i])
	}
	for i := range min(len(m.GetWaiters()), len(m.GetPriorities()), len(m.GetWaiting()), customershare.MaxFigures) {
		key := customerKey{tag: customershare.Tag(m.GetWaiters()[i]), waiting: true, priority: int(m.GetPriorities()[i])}
		out[key] = int(m.GetWaiting()[i])
	}
	return out
}

// customerTotals are the sums of what all other gateways report.
type customerTotals struct {
	sums customerTokens
	// changed is set if sums have changed since they were last taken.
	changed bool
}

func (t *customerTotals) add(k customerKey, tokens int) {
	if tokens == 0 {
		return
	}
	t.changed = true
	if t.sums[k] += tokens; t.sums[k] == 0 {
		delete(t.sums, k)
	}
}

// replace replaces all figures of one gateway.
func (t *customerTotals) replace(old, new customerTokens) {
	for k, tokens := range old {
		t.add(k, -tokens)
	}
	for k, tokens := range new {
		t.add(k, tokens)
	}
}

// update applies the changed figures of one gateway and returns all of them.
func (t *customerTotals) update(all, changed customerTokens) customerTokens {
	if all == nil && len(changed) > 0 {
		all = customerTokens{}
	}
	for k, tokens := range changed {
		t.add(k, tokens-all[k])
		if all[k] = tokens; tokens == 0 {
			delete(all, k)
		}
	}
	return all
}

// takeCustomerMemory returns what customers hold and wait for at all other gateways, and false if that has not changed
// since the last call with the same names. A customer or service that names doesn't have is left out: this gateway has
// no requests that compete with it.
func (p *peerLoads) takeCustomerMemory(names *customerNames) (customershare.Figures, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.customers.changed && p.customerNames == names {
		return nil, false
	}
	p.customers.changed, p.customerNames = false, names
	out := make(customershare.Figures, len(p.customers.sums))
	for k, tokens := range p.customers.sums {
		if name, ok := names.byTag[k.tag]; ok {
			out[customershare.Key{Pool: name.Pool, Customer: name.Customer, Waiting: k.waiting, Priority: k.priority}] = tokens
		}
	}
	return out, true
}

// customerNames are the customers and services of a table by their tags.
type customerNames struct {
	table *route.Table
	byTag map[customershare.Tag]customershare.Key
}

func namesOf(t *route.Table) *customerNames {
	n := &customerNames{table: t, byTag: map[customershare.Tag]customershare.Key{}}
	if t == nil || t.Tenants == nil {
		return n
	}
	for service := range t.Services {
		n.byTag[customershare.TagOf(service, customershare.Anonymous)] = customershare.Key{Pool: service, Customer: customershare.Anonymous}
		for _, tenant := range t.Tenants.List() {
			n.byTag[customershare.TagOf(service, tenant.Name)] = customershare.Key{Pool: service, Customer: tenant.Name}
		}
	}
	return n
}

// customersChanged reports whether takeCustomerMemory has something to return.
func (p *peerLoads) customersChanged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.customers.changed
}

// customerUpdateInterval is the interval between two updates of the customers' memory, for each of the figures that
// were handed on. An update takes 0.36 microseconds for each, so all updates together take at most some 1.2 % of a core,
// however many datagrams arrive. 680 figures, two for each of 340 customers, are updated every 20 ms.
const customerUpdateInterval = 30 * time.Microsecond

// followCustomerMemory hands on what customers hold at the other gateways when that changes, until ctx ends.
func (s *Service) followCustomerMemory(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.customersChanged:
		}
		figures := s.updateCustomerMemory()
		sleep.For(ctx, time.Duration(figures)*customerUpdateInterval)
	}
}

// announceCustomerMemory wakes followCustomerMemory if customers' memory has changed.
func (s *Service) announceCustomerMemory() {
	if s.peerLoads.customersChanged() {
		notify.Send(s.customersChanged)
	}
}

// updateCustomerMemory hands on what customers hold at the other gateways if that has changed, and returns the number of
// figures that it handed on.
func (s *Service) updateCustomerMemory() int {
	s.customerMu.Lock()
	defer s.customerMu.Unlock()
	if table := s.view.Table(); s.customerNames == nil || s.customerNames.table != table {
		s.customerNames = namesOf(table)
	}
	figures, changed := s.peerLoads.takeCustomerMemory(s.customerNames)
	if changed {
		s.fwd.SetPeerCustomerMemory(figures)
	}
	return len(figures)
}
