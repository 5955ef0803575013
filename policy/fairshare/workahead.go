package fairshare

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/contract"
)

// WorkAhead estimates the total service time of the items that would be served before a new item
// of a customer. With s slots the item waits for about WorkAhead/s. The cost is linear in the
// number of customers with waiting items, not in the number of items.
func (q *Queue[K]) WorkAhead(customer string, weight float64, u contract.Urgency) time.Duration {
	u = clampUrgency(u)
	weight = max(weight, minWeight)
	startTag, inService, ownWork := q.virtualTime, 0, time.Duration(0)
	if f := q.flows[customer]; f != nil {
		startTag, inService, ownWork = max(f.startTag, q.virtualTime), f.inService, f.workUpTo(u)
	}
	if inService == 0 && ownWork == 0 && len(q.backlogged.nodes) == 0 {
		return 0
	}
	over := q.overEntitlement(inService, weight, u)
	sortKey := startTag + (ownWork.Seconds()-q.cfg.MaxLead[u].Seconds())/weight
	total := ownWork
	for _, f := range q.backlogged.nodes {
		if f.name != customer {
			total += q.workBefore(f, over, sortKey)
		}
	}
	return total
}

// workBefore returns the part of the waiting work of f that is served before a customer with the
// given entitlement state and sort key.
func (q *Queue[K]) workBefore(f *flow[K], over bool, sortKey float64) time.Duration {
	if f.overEntitlement != over {
		if f.overEntitlement {
			return 0
		}
		return f.workUpTo(contract.Deferred)
	}
	if f.sortKey >= sortKey {
		return 0
	}
	work := f.items.nodes[0].item.Cost
	for u := contract.Interactive; u <= contract.Deferred; u++ {
		share := (sortKey - f.startTag + q.cfg.MaxLead[u].Seconds()/f.weight) * f.weight
		work = max(work, min(f.workUpTo(u), bounded.Seconds(share)))
	}
	return work
}

// workUpTo returns the service time of the waiting items of f that are at least as urgent as u.
func (f *flow[K]) workUpTo(u contract.Urgency) time.Duration {
	var sum time.Duration
	for i := range f.queuedWork[:u+1] {
		sum += f.queuedWork[i]
	}
	return sum
}

// QueuedWork returns the total service time of all waiting items.
func (q *Queue[K]) QueuedWork() time.Duration {
	var sum time.Duration
	for _, f := range q.backlogged.nodes {
		sum += f.workUpTo(contract.Deferred)
	}
	return sum
}
