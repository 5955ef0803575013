package fairshare

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// urgencies is the number of values of contract.Urgency.
const urgencies = int(contract.Deferred) + 1

// minWeight keeps the start tags of a customer without a share finite.
const minWeight = 0.001

// Config configures a Queue. The zero value orders by share and arrival time alone.
type Config struct {
	// Slots is how many items are served at once. A customer is entitled to the fraction of
	// them that its weight gives, rounded up. 0 disables entitlements.
	Slots int
	// MaxLead bounds, for each urgency, the service time by which items may be served ahead of
	// their customer's share.
	MaxLead [urgencies]time.Duration
	// MaxDeferral bounds, for each urgency, how long an item is deferred in favor of more urgent
	// items of the same customer that arrive later.
	MaxDeferral [urgencies]time.Duration
}

// DefaultConfig returns the default configuration of a server with the given number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:       slots,
		MaxLead:     [urgencies]time.Duration{2 * time.Second, 500 * time.Millisecond, 0},
		MaxDeferral: [urgencies]time.Duration{0, time.Second, 5 * time.Second},
	}
}

// Item is one waiting request.
type Item[K comparable] struct {
	Key      K
	Customer string
	// Weight is the share of the customer, in (0, 1].
	Weight  float64
	Urgency contract.Urgency
	// Cost is the estimated service time.
	Cost time.Duration
	// Deadline is when the item expires if it is still waiting; the zero time means never.
	Deadline time.Time
}

// Queue holds waiting items and counts the items in service for each customer. It keeps state
// only for customers that have either or that have run ahead of their share. Push, Pop, Take and
// Remove are O(log n).
type Queue[K comparable] struct {
	cfg         Config
	virtualTime float64 // in seconds of service per unit of weight
	nextSeq     uint64
	// activeWeight is the sum of the weights of the customers that are not idle, in millionths.
	activeWeight int64
	flows        map[string]*flow[K]
	byKey        map[K]*entry[K]
	// backlogged holds the customers with waiting items, idle those with neither
	// waiting items nor items in service.
	backlogged indexedHeap[*flow[K]]
	idle       indexedHeap[*flow[K]]
	deadlines  indexedHeap[*deadlineNode[K]]
	candidates []int // scratch space of Walk: positions in backlogged
}

// New returns an empty queue.
func New[K comparable](cfg Config) *Queue[K] {
	return &Queue[K]{
		cfg:        cfg,
		flows:      make(map[string]*flow[K]),
		byKey:      make(map[K]*entry[K]),
		backlogged: indexedHeap[*flow[K]]{less: flowLess[K]},
		idle:       indexedHeap[*flow[K]]{less: startLess[K]},
		deadlines:  indexedHeap[*deadlineNode[K]]{less: deadlineLess[K]},
	}
}

// Len returns the number of waiting items.
func (q *Queue[K]) Len() int {
	return len(q.byKey)
}

// Customers returns the number of customers that have state in the queue, including idle ones.
func (q *Queue[K]) Customers() int {
	return len(q.flows)
}

// Has reports whether an item with the given key is waiting.
func (q *Queue[K]) Has(key K) bool {
	return q.byKey[key] != nil
}

// Queued returns the number of waiting items of a customer.
func (q *Queue[K]) Queued(customer string) int {
	if f := q.flows[customer]; f != nil {
		return len(f.items.nodes)
	}
	return 0
}

// InService returns the number of items of a customer that are in service.
func (q *Queue[K]) InService(customer string) int {
	if f := q.flows[customer]; f != nil {
		return f.inService
	}
	return 0
}

// Entitled returns how many slots a customer of the given weight is entitled to, at least one.
// When the weights of the active customers add up to more than 1, they are scaled down to 1.
func (q *Queue[K]) Entitled(weight float64) int {
	sum := max(1, float64(q.activeWeight)/million)
	return max(1, int(math.Ceil(weight/sum*float64(q.cfg.Slots))))
}

// Push adds an item. It returns false when an item with the same key is already waiting.
func (q *Queue[K]) Push(now time.Time, it Item[K]) bool {
	if q.Has(it.Key) {
		return false
	}
	it.Urgency = clampUrgency(it.Urgency)
	f := q.flow(it.Customer)
	q.activate(f, it.Weight)
	if len(f.items.nodes) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	e := &entry[K]{item: it, seq: q.nextSeq, serveBy: now.Add(q.cfg.MaxDeferral[it.Urgency])}
	q.nextSeq++
	q.byKey[it.Key] = e
	f.items.push(e)
	f.queuedWork[it.Urgency] += it.Cost
	if !it.Deadline.IsZero() {
		e.deadline.entry = e
		q.deadlines.push(&e.deadline)
	}
	q.update(f)
	return true
}

// Pop removes the first item from the queue and counts it as in service.
func (q *Queue[K]) Pop() (Item[K], bool) {
	if len(q.backlogged.nodes) == 0 {
		return Item[K]{}, false
	}
	e := q.backlogged.nodes[0].items.nodes[0]
	q.Take(e.item.Key)
	return e.item, true
}

// Take removes the item with the given key from the queue, whatever its position, counts it as in
// service and charges its cost to the customer. The caller calls Release when the service ends.
func (q *Queue[K]) Take(key K) bool {
	e := q.byKey[key]
	if e == nil {
		return false
	}
	f := q.flows[e.item.Customer]
	q.virtualTime = max(q.virtualTime, f.sortKey)
	f.startTag += e.item.Cost.Seconds() / f.weight
	f.inService++
	q.drop(f, e)
	return true
}

// Remove removes a waiting item without serving it. It reports whether there was one.
func (q *Queue[K]) Remove(key K) bool {
	e := q.byKey[key]
	if e == nil {
		return false
	}
	q.drop(q.flows[e.item.Customer], e)
	return true
}

// Acquire counts an item of a customer as in service that was never in the queue.
func (q *Queue[K]) Acquire(customer string, weight float64) {
	f := q.flow(customer)
	q.activate(f, weight)
	f.inService++
	q.update(f)
}

// Release records that the service of one item of the customer has ended. It panics when the
// customer has none in service, since the number of used slots would be wrong.
func (q *Queue[K]) Release(customer string) {
	f := q.flows[customer]
	if f == nil || f.inService == 0 {
		panic("fairshare: release without an item in service")
	}
	f.inService--
	q.update(f)
}

// Expire removes the items whose deadline is not after now, earliest first.
func (q *Queue[K]) Expire(now time.Time) []Item[K] {
	var out []Item[K]
	for len(q.deadlines.nodes) > 0 {
		e := q.deadlines.nodes[0].entry
		if e.item.Deadline.After(now) {
			break
		}
		out = append(out, e.item)
		q.drop(q.flows[e.item.Customer], e)
	}
	return out
}

// NextDeadline returns the earliest deadline of a waiting item.
func (q *Queue[K]) NextDeadline() (time.Time, bool) {
	if len(q.deadlines.nodes) == 0 {
		return time.Time{}, false
	}
	return q.deadlines.nodes[0].entry.item.Deadline, true
}

// Walk calls visit for the first waiting item of up to limit customers, in the order in which
// they would be served, until visit returns false. visit must not change the queue.
func (q *Queue[K]) Walk(limit int, visit func(Item[K]) bool) {
	if len(q.backlogged.nodes) == 0 {
		return
	}
	q.candidates = append(q.candidates[:0], 0)
	for ; limit > 0 && len(q.candidates) > 0; limit-- {
		i := q.popMinCandidate()
		if !visit(q.backlogged.nodes[i].items.nodes[0].item) {
			return
		}
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.backlogged.nodes); c++ {
			q.candidates = append(q.candidates, c)
		}
	}
}

// popMinCandidate removes and returns the candidate that is served first.
func (q *Queue[K]) popMinCandidate() int {
	best := 0
	for j := range q.candidates {
		if flowLess(q.backlogged.nodes[q.candidates[j]], q.backlogged.nodes[q.candidates[best]]) {
			best = j
		}
	}
	i := q.candidates[best]
	last := len(q.candidates) - 1
	q.candidates[best] = q.candidates[last]
	q.candidates = q.candidates[:last]
	return i
}

// drop removes e from all indexes.
func (q *Queue[K]) drop(f *flow[K], e *entry[K]) {
	delete(q.byKey, e.item.Key)
	f.items.remove(e.pos)
	f.queuedWork[e.item.Urgency] -= e.item.Cost
	if e.deadline.entry != nil {
		q.deadlines.remove(e.deadline.pos)
	}
	q.update(f)
}

func (q *Queue[K]) flow(customer string) *flow[K] {
	f := q.flows[customer]
	if f == nil {
		f = &flow[K]{name: customer, pos: -1, startTag: q.virtualTime, items: indexedHeap[*entry[K]]{less: entryLess[K]}}
		q.flows[customer] = f
	}
	return f
}

// update moves f to the right heap and position after a change.
func (q *Queue[K]) update(f *flow[K]) {
	if len(f.items.nodes) > 0 {
		q.reorder(f)
		return
	}
	if f.pos >= 0 && !f.idle {
		q.backlogged.remove(f.pos)
	}
	if f.inService == 0 {
		q.retire(f)
	}
}

// retire marks a customer with nothing waiting or in service as idle. Its state is kept until
// virtual time has reached its start tag, or until the whole queue is idle: if it were dropped
// earlier, the customer would not be charged for the service it got ahead of its share.
func (q *Queue[K]) retire(f *flow[K]) {
	if !f.idle {
		q.activeWeight -= millionths(f.weight)
		f.idle = true
		q.idle.push(f)
	}
	for len(q.idle.nodes) > 0 && (q.activeWeight == 0 || q.idle.nodes[0].startTag <= q.virtualTime) {
		delete(q.flows, q.idle.nodes[0].name)
		q.idle.remove(0)
	}
}

// activate marks f as active and sets its weight to the latest one.
func (q *Queue[K]) activate(f *flow[K], weight float64) {
	if f.idle {
		q.idle.remove(f.pos)
		f.idle = false
	} else {
		q.activeWeight -= millionths(f.weight)
	}
	f.weight = max(weight, minWeight)
	q.activeWeight += millionths(f.weight)
}

func (q *Queue[K]) reorder(f *flow[K]) {
	u := f.items.nodes[0].item.Urgency
	over := q.overEntitlement(f.inService, f.weight, u)
	if f.overEntitlement && !over {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.overEntitlement = over
	f.sortKey = f.startTag - q.cfg.MaxLead[u].Seconds()/f.weight
	if f.pos < 0 {
		q.backlogged.push(f)
		return
	}
	q.backlogged.fix(f.pos)
}

// overEntitlement reports whether a customer with inService items in service has used up its
// entitlement. Interactive work may exceed it by a quarter, at least by one slot.
func (q *Queue[K]) overEntitlement(inService int, weight float64, u contract.Urgency) bool {
	if q.cfg.Slots == 0 {
		return false
	}
	limit := q.Entitled(weight)
	if u == contract.Interactive {
		limit += max(1, limit/4)
	}
	return inService >= limit
}
