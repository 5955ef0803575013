package waitqueue

import "slices"

// head is the first request of a customer that walk has not visited yet.
type head struct {
	waiter   *Waiter
	customer string
	flow     *flow
	index    int
	// held is what the customer holds per unit of weight, with the requests that were visited; weight is its weight,
	// or zero without Shares.
	held, weight float64
}

// headLess orders requests by what their customers hold relative to their weight, then by arrival.
func headLess(a, b *head) bool {
	if a.held != b.held {
		return a.held < b.held
	}
	if c := compareArrival(a.waiter, b.waiter); c != 0 {
		return c < 0
	}
	return a.customer < b.customer
}

// headOf returns the first request of a flow.
func (q *Queue) headOf(f *flow) head {
	h := head{waiter: f.waiters[0], customer: f.customer, flow: f, weight: 1}
	if q.Shares != nil {
		tokens, weight := q.Shares.Holding(f.customer)
		h.held, h.weight = tokens/weight, weight
	}
	return h
}

// advance moves to the next request of the customer and reports whether there is one.
func (h *head) advance(shares bool) bool {
	if shares {
		h.held += float64(h.waiter.Need) / h.weight
	}
	h.index++
	if h.index == len(h.flow.waiters) {
		return false
	}
	h.waiter = h.flow.waiters[h.index]
	return true
}

// walk calls visit with the requests of a class in the order in which they are served, until visit returns false. The
// heads of the requests that were not visited remain in q.heads. It takes O(log c) for each request, for c customers.
func (q *Queue) walk(c *class, visit func(*Waiter) bool) {
	q.heads = q.heads[:0]
	for _, f := range c.flows {
		q.heads = append(q.heads, q.headOf(f))
	}
	for i := len(q.heads)/2 - 1; i >= 0; i-- {
		q.heads.down(i)
	}
	for len(q.heads) > 0 {
		first := &q.heads[0]
		w := first.waiter
		more := visit(w)
		if !first.advance(q.Shares != nil) {
			last := len(q.heads) - 1
			q.heads[0] = q.heads[last]
			q.heads = q.heads[:last]
		}
		if !more {
			return
		}
		q.heads.down(0)
	}
}

// headHeap is a binary heap with the request that is served first at position 0.
type headHeap []head

func (h headHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if headLess(&h[child], &h[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// arrivedBefore reports whether one of the requests arrived before w.
func (h headHeap) arrivedBefore(w *Waiter) bool {
	return slices.ContainsFunc(h, func(other head) bool { return compareArrival(other.waiter, w) < 0 })
}
