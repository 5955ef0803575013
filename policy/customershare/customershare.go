// Package customershare compares what each customer holds of the memory of a pool of engines with its weighted share.
//
// Load pattern: one of some sixteen customers sends 5 to 7.5 times its usual requests for six seconds, beside a burst
// of 1.7 times by all, so that memory is short for some seconds. Some thirty gateways place requests independently, and
// each has one or two requests waiting. In the order of arrival the surging customer gets most of the memory that
// becomes free, since most waiting requests are its own. An order within each gateway's queue changes little: a gateway
// whose only waiting request is one of the surging customer places it, although requests of other customers wait
// elsewhere. So gateways report to each other what their requests hold and how much waits, by customer. While requests
// wait at other gateways, a request whose customer is over its share yields to those of customers within theirs that
// are at least as urgent: it takes free memory after them.
//
// Shares are max-min fair: a customer that needs less than its weighted part leaves the rest to the others, so one
// without competitors may use all memory. While nothing waits, no share bounds anything.
//
// A Pool is deterministic. It is not safe for concurrent use.
package customershare

import (
	"cmp"
	"math"
	"slices"
)

// Waiting identifies the waiting requests of one customer and priority.
type Waiting struct {
	Customer string
	Priority int
}

// Pool is what one gateway knows of the memory that customers hold in one pool of engines.
type Pool struct {
	// weights are relative to their mean.
	weights map[string]float64
	// own is the memory of this gateway's requests in tokens, peers that of the other gateways.
	own, peers map[string]int
	// ownWaiting is the memory that this gateway's waiting requests need, in tokens, peersWaiting that of the others.
	ownWaiting, peersWaiting map[Waiting]int
	// current is set while level and urgent are those of the present state.
	current bool
	level   float64
	// urgent is the most urgent priority of the requests that wait at other gateways for customers within their share.
	urgent int
	// scratch and index, of customers in it, are scratch space of demands.
	scratch []demand
	index   map[string]int
}

// New returns a pool of which nothing is held and in which all customers have the same weight.
func New() *Pool {
	return &Pool{own: map[string]int{}, ownWaiting: map[Waiting]int{}, index: map[string]int{}}
}

// Weights returns the weights of customers relative to their mean: in proportion to their quotas, and the mean for
// those without one (zero).
func Weights(quotas map[string]float64) map[string]float64 {
	sum, n := 0.0, 0
	for _, quota := range quotas {
		if quota > 0 {
			sum += quota
			n++
		}
	}
	out := make(map[string]float64, len(quotas))
	for customer, quota := range quotas {
		out[customer] = 1
		if quota > 0 {
			out[customer] = quota * float64(n) / sum
		}
	}
	return out
}

// SetWeights sets the weights of customers, as returned by Weights. The caller must not change them afterwards.
func (p *Pool) SetWeights(weights map[string]float64) { p.weights, p.current = weights, false }

// weight returns the weight of a customer; 1 for one that is not configured.
func (p *Pool) weight(customer string) float64 {
	if w := p.weights[customer]; w > 0 {
		return w
	}
	return 1
}

// Add records that this gateway's requests of a customer hold more memory, or less, in tokens.
func (p *Pool) Add(customer string, tokens int) {
	add(p.own, customer, tokens)
	p.current = false
}

// AddWaiting records that this gateway's waiting requests need more memory, or less, in tokens.
func (p *Pool) AddWaiting(w Waiting, tokens int) {
	add(p.ownWaiting, w, tokens)
	p.current = false
}

func add[K comparable](m map[K]int, k K, tokens int) {
	if m[k] += tokens; m[k] == 0 {
		delete(m, k)
	}
}

// SetPeers sets what the requests of all other gateways hold and what their waiting requests need, in tokens. The
// caller must not change the maps afterwards.
func (p *Pool) SetPeers(held map[string]int, waiting map[Waiting]int) {
	p.peers, p.peersWaiting, p.current = held, waiting, false
}

// Own returns what this gateway's requests hold and what its waiting requests need, in tokens. The caller must not
// change the maps.
func (p *Pool) Own() (held map[string]int, waiting map[Waiting]int) { return p.own, p.ownWaiting }

// Holding returns what a customer holds at all gateways, in tokens, and its weight.
func (p *Pool) Holding(customer string) (tokens, weight float64) {
	return float64(p.own[customer] + p.peers[customer]), p.weight(customer)
}

// Share returns the memory up to which a customer's requests don't yield, in tokens: without bound while the demand of
// every customer is met.
func (p *Pool) Share(customer string) float64 {
	p.update()
	return p.level * p.weight(customer)
}

// Total returns what all customers hold at all gateways and what a customer's waiting requests need, in tokens.
func (p *Pool) Total(customer string) (held, waiting int) {
	for _, m := range []map[string]int{p.own, p.peers} {
		for _, tokens := range m {
			held += tokens
		}
	}
	for _, m := range []map[Waiting]int{p.ownWaiting, p.peersWaiting} {
		for w, tokens := range m {
			if w.Customer == customer {
				waiting += tokens
			}
		}
	}
	return held, waiting
}

// rounding, in tokens, keeps a customer that holds exactly its share from being over it.
const rounding = 1

// OverShare reports whether a customer holds more than its share.
func (p *Pool) OverShare(customer string) bool {
	held, _ := p.Holding(customer)
	return held > p.Share(customer)+rounding
}

// Yields reports whether a request leaves free memory to requests that wait at other gateways.
func (p *Pool) Yields(customer string, priority int) bool {
	return len(p.peersWaiting) > 0 && p.OverShare(customer) && p.urgent <= priority
}

// update brings level and urgent up to date.
func (p *Pool) update() {
	if p.current {
		return
	}
	p.current, p.urgent = true, math.MaxInt
	p.level = fairLevel(p.demands())
	for w, tokens := range p.peersWaiting {
		if held, weight := p.Holding(w.Customer); tokens > 0 && held <= p.level*weight+rounding {
			p.urgent = min(p.urgent, w.Priority)
		}
	}
}

// demand is what a customer holds, and what it holds and waits for, in tokens.
type demand struct{ held, wanted, weight float64 }

// demands returns the demand of every customer that holds memory or waits for some, the smallest relative to its weight
// first. The result is valid until the next call.
func (p *Pool) demands() []demand {
	clear(p.index)
	out := p.scratch[:0]
	record := func(customer string, held, waiting int) {
		i, ok := p.index[customer]
		if !ok {
			i = len(out)
			p.index[customer] = i
			out = append(out, demand{weight: p.weight(customer)})
		}
		out[i].held += float64(held)
		out[i].wanted += float64(held + waiting)
	}
	for _, held := range []map[string]int{p.own, p.peers} {
		for customer, tokens := range held {
			record(customer, tokens, 0)
		}
	}
	for _, waiting := range []map[Waiting]int{p.ownWaiting, p.peersWaiting} {
		for w, tokens := range waiting {
			record(w.Customer, 0, tokens)
		}
	}
	p.scratch = out
	slices.SortFunc(out, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.wanted*b.weight, b.wanted*a.weight), cmp.Compare(a.weight, b.weight), cmp.Compare(a.held, b.held))
	})
	return out
}

// fairLevel returns the memory per unit of weight that the memory held in total provides to every customer that wants
// more (max-min fairness): customers that want less get all of it. It is infinite if all demands are met.
func fairLevel(demands []demand) float64 {
	left, weights := 0.0, 0.0
	for _, d := range demands {
		left += d.held
		weights += d.weight
	}
	for _, d := range demands {
		if d.wanted*weights > left*d.weight {
			return max(left, 0) / weights
		}
		left -= d.wanted
		weights -= d.weight
	}
	return math.Inf(1)
}
