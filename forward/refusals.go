package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Refusal is a request that was turned away for its key or its customer's quota.
type Refusal struct {
	At time.Time `json:"at"`
	// Request is its ID, Customer empty where nobody holds its key.
	Request  string         `json:"request"`
	Customer string         `json:"customer,omitempty"`
	Route    string         `json:"route"`
	Reason   outcome.Reason `json:"reason"`
}

// keptRefusals is how many refusals are remembered: enough to find one that a caller has just asked about.
const keptRefusals = 128

// refusals are the last refusals. It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last [keptRefusals]Refusal
	n    int
}

func (r *refusals) add(refusal Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[r.n%keptRefusals] = refusal
	r.n++
}

// list returns what is remembered, the latest first.
func (r *refusals) list() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Refusal
	for i := r.n - 1; i >= max(r.n-keptRefusals, 0); i-- {
		out = append(out, r.last[i%keptRefusals])
	}
	return out
}

// AccessReasons are why a request is turned away for its key or its customer's quota.
var AccessReasons = []outcome.Reason{outcome.Unauthenticated, outcome.ConfigUnproved, outcome.RateLimited}

// Refusals returns the last requests that were turned away for one of AccessReasons, the latest first.
func (f *Forwarder) Refusals() []Refusal { return f.refusals.list() }

// noteRefusal remembers a request that was turned away, if it is one of those.
func (f *Forwarder) noteRefusal(j *job, reason outcome.Reason) {
	for _, r := range AccessReasons {
		if r == reason {
			f.refusals.add(Refusal{At: time.Now(), Request: j.meta.ID, Customer: j.customer(), Route: j.routeName(), Reason: reason})
		}
	}
}
