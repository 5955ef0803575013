// Package retry decides what follows when an attempt at a request has ended: the final outcome
// at once, or another attempt at another server.
//
// Only a request that may be repeated, or that provably did not run, is retried. Each further
// attempt is charged to two retry budgets (token buckets), the customer's and the global one,
// which successes fill; so retries stay a bounded share of the work however many servers fail
// at once. A Policy is not safe for concurrent use; the caller locks it. It takes the time from
// its caller and uses no random numbers.
package retry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Action is what to do next.
type Action uint8

// Actions.
const (
	// Finish returns the final outcome to the caller at once.
	Finish Action = iota + 1
	// Restart starts a new attempt from the beginning.
	Restart
	// Resume starts a new attempt at an output position.
	Resume
)

// Denial is the reason why there is no further attempt, for metrics.
type Denial string

// Denials. The empty one means that there is a further attempt, or that none is needed.
const (
	Completed       Denial = "completed"
	NotRetryable    Denial = "not_retryable"
	Unrepeatable    Denial = "unrepeatable"
	TooManyAttempts Denial = "attempts"
	DeadlineTooSoon Denial = "deadline"
	CustomerBudget  Denial = "customer_budget"
	GlobalBudget    Denial = "global_budget"
	NoServer        Denial = "no_server"
)

// Denials returns every denial, for the registration of metrics.
func Denials() []Denial {
	return []Denial{Completed, NotRetryable, Unrepeatable, TooManyAttempts, DeadlineTooSoon, CustomerBudget, GlobalBudget, NoServer}
}

// Attempt is an attempt that has ended.
type Attempt struct {
	// Backends are the servers that failed or rejected the attempt; Zones are theirs.
	Backends []string
	Zones    []string
	Outcome  outcome.Outcome
	// WorkDone is set when prefill or decode work was wasted. Another attempt after one without
	// wasted work costs little of the budget.
	WorkDone bool
}

// Request is the current state of a request.
type Request struct {
	Customer     string
	Unrepeatable bool
	// Deadline bounds the whole request; zero means none.
	Deadline time.Time
	// Position is the number of output tokens received so far, without a gap.
	Position int
	// Attempts are all attempts that have ended, the latest last. There is at least one.
	Attempts []Attempt
	// Expected is the expected duration of a further attempt.
	Expected time.Duration
}

// Decision is what to do next.
type Decision struct {
	Action Action
	// Outcome is the final outcome; it is set when Action is Finish.
	Outcome outcome.Outcome
	// Denial is set when Action is Finish.
	Denial Denial
	// Position is the first output position wanted; it is set when Action is Resume.
	Position int
	// ExcludeIDs are the backend servers that must not be chosen, AvoidZones the zones that
	// should not be.
	ExcludeIDs, AvoidZones []string
}

// Config bounds retries.
type Config struct {
	// Attempts is the maximum number of attempts at one request, the first included.
	Attempts int
	// Customer and Global are the two budgets.
	Customer, Global Budget
	// RejectionCost is the cost of a further attempt after one that did no work, as a fraction of
	// the usual cost.
	RejectionCost float64
	// RetryAfter is the delay that is stated when neither the outcome nor a budget gives one.
	RetryAfter time.Duration
}

// DefaultConfig limits retries to a tenth of the successes of each customer.
func DefaultConfig() Config {
	return Config{
		Attempts:      4,
		Customer:      Budget{Ratio: 0.1, PerSecond: 0.5, Burst: 10, HalfLife: 10 * time.Second},
		Global:        Budget{Ratio: 0.1, PerSecond: 2, Burst: 50, HalfLife: 10 * time.Second},
		RejectionCost: 0.1,
		RetryAfter:    time.Second,
	}
}

// Policy decides on retries and holds the budgets.
type Policy struct {
	cfg       Config
	global    bucket
	customers map[string]*bucket
}

// New returns a policy with full budgets.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, customers: make(map[string]*bucket)}
}

// Succeeded credits the budgets for a request that completed.
func (p *Policy) Succeeded(customer string, now time.Time) {
	p.customer(customer).credit(p.cfg.Customer, now)
	p.global.credit(p.cfg.Global, now)
}

// Forget drops the budget of a customer whose contract was withdrawn.
func (p *Policy) Forget(customer string) { delete(p.customers, customer) }

// Decide returns what follows the latest attempt, and charges the cost of a further one to the
// budgets.
func (p *Policy) Decide(req Request, now time.Time) Decision {
	last := req.Attempts[len(req.Attempts)-1]
	if d := p.denied(&req, &last, now); d != "" {
		return p.finish(&req, d, 0)
	}
	if d, wait := p.charge(&req, &last, now); d != "" {
		return p.finish(&req, d, wait)
	}
	d := Decision{Action: Restart}
	if req.Position > 0 {
		d = Decision{Action: Resume, Position: req.Position}
	}
	d.ExcludeIDs, d.AvoidZones = serversToAvoid(req.Attempts)
	return d
}

// Conclude returns the final outcome of a request when there is no server for its next
// attempt. The latest attempt is that rejection.
func (p *Policy) Conclude(req Request) outcome.Outcome {
	return p.finish(&req, NoServer, 0).Outcome
}

// denied returns why no further attempt may be made, apart from the budgets.
func (p *Policy) denied(req *Request, last *Attempt, now time.Time) Denial {
	o := last.Outcome
	switch {
	case o.Kind == outcome.Completed:
		return Completed
	case req.Unrepeatable && o.Kind != outcome.NotRun:
		return Unrepeatable
	case !o.Reason.Retryable():
		return NotRetryable
	case len(req.Attempts) >= p.cfg.Attempts:
		return TooManyAttempts
	case !req.Deadline.IsZero() && now.Add(req.Expected).After(req.Deadline):
		return DeadlineTooSoon
	default:
		return ""
	}
}

// charge takes the cost from both budgets or from neither.
func (p *Policy) charge(req *Request, last *Attempt, now time.Time) (Denial, time.Duration) {
	cost := 1.0
	if !last.WorkDone {
		cost = p.cfg.RejectionCost
	}
	customer := p.customer(req.Customer)
	if wait := customer.waitFor(p.cfg.Customer, cost, now); wait > 0 {
		return CustomerBudget, wait
	}
	if wait := p.global.waitFor(p.cfg.Global, cost, now); wait > 0 {
		return GlobalBudget, wait
	}
	customer.tokens -= cost
	p.global.tokens -= cost
	return "", 0
}

// finish combines all attempts into the final outcome. A caller that may retry gets the delay;
// the reason of the last attempt stays unless a budget is spent.
func (p *Policy) finish(req *Request, d Denial, wait time.Duration) Decision {
	o := req.Attempts[len(req.Attempts)-1].Outcome
	o.Kind = overallKind(req.Attempts)
	if d == CustomerBudget || d == GlobalBudget {
		o.Detail = string(o.Reason) + " " + o.Detail
		o.Reason = outcome.RetryBudgetSpent
	}
	if callerMayRetry(req, o) {
		o.RetryAfter = max(o.RetryAfter, wait)
		if o.RetryAfter == 0 {
			o.RetryAfter = p.cfg.RetryAfter
		}
	}
	return Decision{Action: Finish, Outcome: o, Denial: d}
}

// callerMayRetry reports whether the caller may send the request again: never if the request
// is unrepeatable and may have run.
func callerMayRetry(req *Request, o outcome.Outcome) bool {
	if o.Kind == outcome.Completed || req.Unrepeatable && o.Kind != outcome.NotRun {
		return false
	}
	return o.Reason.Retryable() || o.Reason == outcome.RetryBudgetSpent
}

// overallKind returns the kind of outcome of the request as a whole: it did not run only if no
// attempt did.
func overallKind(attempts []Attempt) outcome.Kind {
	kind := attempts[len(attempts)-1].Outcome.Kind
	if kind != outcome.NotRun {
		return kind
	}
	for _, a := range attempts {
		switch a.Outcome.Kind {
		case outcome.Failed:
			return outcome.Failed
		case outcome.Unknown:
			kind = outcome.Unknown
		}
	}
	return kind
}

func (p *Policy) customer(id string) *bucket {
	b := p.customers[id]
	if b == nil {
		b = &bucket{}
		p.customers[id] = b
	}
	return b
}
