// Package limit enforces a customer's limits over all entries together without a store on the request path.
//
// An entry decides on its own, from its own demand and from the demand of all that sidecars report: each sidecar
// meters the requests that it grants to each customer, and reports the rate to the entries on messages that are sent
// anyway. Limits that hold on average may be exceeded for some seconds when demand jumps. Limiters and meters are not
// safe for concurrent use; the caller locks them. Time and randomness are passed in.
package limit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Terms are the limits of one contract, as they apply to one request. A limit of zero means no limit.
type Terms struct {
	// Rate is in units per second, Burst in units: requests, or tokens.
	Rate, Burst float64
	// Cost is the cost of the request, in units; zero means one.
	Cost float64
	// Concurrent counts requests in progress.
	Concurrent int
	// Scale is the number of all sidecars that may serve the request divided by the number of those that the entry has
	// links to, at least 1.
	Scale float64
}

// Decision is the answer to one request.
type Decision struct {
	Admitted bool
	// Reason and RetryAfter are set when it is not admitted.
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Weight is the number of offered requests that an admitted one stands for, at least 1. The sidecar's meter counts
	// it, and so measures demand, not grants.
	Weight float64
}

// Load is the load of one customer as a sidecar reports it.
type Load struct {
	// Demand is the rate of requests of all entries at this sidecar, by weight.
	Demand float64
	// Running is the number of the customer's requests in progress there that came through entries other than the one
	// that receives the report.
	Running int
}

// Limiter decides which requests are within the limits.
type Limiter interface {
	// Admit decides on one request; Done has to be called once for each admitted one.
	Admit(customer string, t Terms, now time.Time, rng *rand.Rand) Decision
	// Done records that an admitted request has ended.
	Done(customer string)
	// Observe records the load that one sidecar reports; scale is as in Terms.
	Observe(customer, backend string, e Load, scale float64, now time.Time)
}

// Names of the limiters.
const (
	Static = "static"
	Demand = "demand"
)

// New returns the limiter of that name, for one of a number of entries.
func New(name string, entries int) (Limiter, error) {
	switch name {
	case Static:
		return &static{entries: max(entries, 1), customers: map[string]*entryShare{}}, nil
	case Demand:
		return &demand{customers: map[string]*customerState{}}, nil
	default:
		return nil, fmt.Errorf("unknown limiter %q, want one of %v", name, Names())
	}
}

func (t *Terms) cost() float64 {
	if t.Cost <= 0 {
		return 1
	}
	return t.Cost
}

// Names lists the limiters that New can create.
func Names() []string { return []string{Demand, Static} }

func admitted(weight float64) Decision { return Decision{Admitted: true, Weight: weight} }

func rejected(r outcome.Reason, after time.Duration) Decision {
	return Decision{Reason: r, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

// Bounds of the stated retry-after.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// concurrencyRetryAfter is the retry-after when the limit of requests in progress is reached, since it isn't known when
// one of them will end.
const concurrencyRetryAfter = time.Second
