package entry

import (
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// limiter guards the limit policy with a lock. It is safe for concurrent use.
type limiter struct {
	mu     sync.Mutex
	policy limit.Limiter
	rng    *rand.Rand
}

func newLimiter(p Policy) (*limiter, error) {
	l, err := limit.New(p.Limits, p.Entries)
	if err != nil {
		return nil, err
	}
	return &limiter{policy: l, rng: newRand()}, nil
}

// newRand returns a random number generator with its own seed.
func newRand() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// allowance is the data that an attempt carries to the sidecars that meter demand: the weight of the request, and the
// levels of the customer's demand and running requests from which a sidecar reports them.
type allowance struct {
	weightMilli, reportRateMilli, reportRunning uint32
}

// admit decides whether a request for a model, or a plain service, is within the contract's limits. done has
// to be called once when the request has ended.
func (l *limiter) admit(c *contract.Contract, cov coverage) (a allowance, done func(), o outcome.Outcome, ok bool) {
	t := limit.Terms{
		Rate:       c.Limits.RequestsPerSecond,
		Burst:      float64(c.Limits.Burst),
		Concurrent: c.Limits.Concurrent,
		Scale:      cov.scale(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.policy.Admit(c.Customer, t, time.Now(), l.rng)
	if !d.Admitted {
		return allowance{}, nil, outcome.Refuse(d.Reason, d.RetryAfter), false
	}
	threshold := limit.ReportThreshold(t, cov.all)
	a = allowance{weightMilli: milli(d.Weight), reportRateMilli: milli(threshold.Demand), reportRunning: uint32(threshold.Running)}
	return a, func() { l.done(c.Customer) }, outcome.Outcome{}, true
}

// milli returns v in thousandths, and at least one for a v above zero.
func milli(v float64) uint32 {
	if v <= 0 {
		return 0
	}
	return max(uint32(min(v*1000, 1<<31)), 1)
}

func (l *limiter) done(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy.Done(customer)
}

// observe passes the demand of customers that a sidecar reports to the limit policy.
func (l *limiter) observe(backend string, cov coverage, demands []*wire.Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, d := range demands {
		load := limit.Load{Demand: float64(d.GetRateMilli()) / 1000, Running: int(d.GetRunning())}
		l.policy.Observe(d.GetCustomer(), backend, load, cov.scale(), now)
	}
}

// addTo sets the allowance on the terms of an attempt. Only the first attempt carries the weight, so that a
// request is counted once.
func (a allowance) addTo(t *wire.Terms, attempt uint32) {
	if attempt == 1 {
		t.WeightMilli = a.weightMilli
	}
	t.TellRateMilli, t.TellRunning = a.reportRateMilli, a.reportRunning
}

// coverageOf returns the coverage of a model, or of a plain service.
func (p *pool) coverageOf(model string) coverage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return coverage{}
	}
	return p.view.coverage[model]
}

// onDemand passes the demand of customers that the sidecar reports to the limiter.
func (p *peer) onDemand(demands []*wire.Demand) {
	var cov coverage
	if len(p.backend.Models) > 0 {
		cov = p.pool.coverageOf(p.backend.Models[0])
	}
	p.pool.limiter.observe(p.backend.ID, cov, demands)
}
