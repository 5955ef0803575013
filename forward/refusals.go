package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Refusal is a request that was rejected for its key or its customer's quota.
type Refusal struct {
	At time.Time `json:"at"`
	// Request is the request's ID. Customer is empty if the key belongs to no customer.
	Request  string         `json:"request"`
	Customer string         `json:"customer,omitempty"`
	Route    string         `json:"route"`
	Reason   outcome.Reason `json:"reason"`
}

// maxRefusals is how many refusals are kept: enough to find one that a caller has just asked about.
const maxRefusals = 128

// refusals is a ring of the last refusals. It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last [maxRefusals]Refusal
	n    int
}

func (r *refusals) add(refusal Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[r.n%maxRefusals] = refusal
	r.n++
}

// list returns the refusals kept, the latest first.
func (r *refusals) list() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Refusal
	for i := r.n - 1; i >= max(r.n-maxRefusals, 0); i-- {
		out = append(out, r.last[i%maxRefusals])
	}
	return out
}

// AccessReasons are the reasons of a rejection for a request's key or its customer's quota.
var AccessReasons = []outcome.Reason{outcome.Unauthenticated, outcome.ConfigUnproved, outcome.RateLimited}

// Refusals returns the last requests that were rejected for one of AccessReasons, the latest first.
func (f *Forwarder) Refusals() []Refusal { return f.refusals.list() }

// recordRefusal records a rejected request if the reason is one of AccessReasons.
func (f *Forwarder) recordRefusal(j *job, reason outcome.Reason) {
	for _, r := range AccessReasons {
		if r == reason {
			f.refusals.add(Refusal{At: time.Now(), Request: j.meta.ID, Customer: j.customer(), Route: j.routeName(), Reason: reason})
		}
	}
}
