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

// limits locks the limiter. It is safe for concurrent use.
type limits struct {
	mu      sync.Mutex
	limiter limit.Limiter
	rng     *rand.Rand
}

func newLimits(p Policy) (*limits, error) {
	l, err := limit.New(p.Limits, p.Entries)
	if err != nil {
		return nil, err
	}
	return &limits{limiter: l, rng: newSource()}, nil
}

// newSource returns a source of randomness with a seed of its own.
func newSource() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// allowance is what an admitted request tells sidecars for the limits' sake.
type allowance struct {
	weightMilli, tellRateMilli, tellRunning uint32
}

// admit decides whether a request for a model, or a plain service, keeps within
// the contract's limits. done has to be called once when it has ended.
func (l *limits) admit(c *contract.Contract, at cover) (a allowance, done func(), o outcome.Outcome, ok bool) {
	t := limit.Terms{
		Rate:       c.Limits.RequestsPerSecond,
		Burst:      float64(c.Limits.Burst),
		Concurrent: c.Limits.Concurrent,
		Scale:      at.scale(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.limiter.Admit(c.Customer, t, time.Now(), l.rng)
	if !d.Admitted {
		return allowance{}, nil, outcome.Refuse(d.Reason, d.RetryAfter), false
	}
	above := limit.ReportThreshold(t, at.all)
	a = allowance{weightMilli: milli(d.Weight), tellRateMilli: milli(above.Demand), tellRunning: uint32(above.Running)}
	return a, func() { l.done(c.Customer) }, outcome.Outcome{}, true
}

// milli returns thousandths, at least one of what is more than zero.
func milli(v float64) uint32 {
	if v <= 0 {
		return 0
	}
	return max(uint32(min(v*1000, 1<<31)), 1)
}

func (l *limits) done(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Done(customer)
}

// observe takes what a sidecar tells of the demand of customers.
func (l *limits) observe(backend string, at cover, demands []*wire.Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, d := range demands {
		e := limit.Load{Demand: float64(d.GetRateMilli()) / 1000, Running: int(d.GetRunning())}
		l.limiter.Observe(d.GetCustomer(), backend, e, at.scale(), now)
	}
}

// fill puts the allowance on the terms of an attempt. Only the first attempt
// carries the weight, so that a request is counted once.
func (a allowance) fill(t *wire.Terms, attempt uint32) {
	if attempt == 1 {
		t.WeightMilli = a.weightMilli
	}
	t.TellRateMilli, t.TellRunning = a.tellRateMilli, a.tellRunning
}

// coverOf returns how a model, or a plain service, is linked.
func (p *pool) coverOf(model string) cover {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return cover{}
	}
	return p.view.cover[model]
}

// onDemand hands on what the sidecar tells of the demand of customers.
func (p *peer) onDemand(demands []*wire.Demand) {
	var at cover
	if len(p.backend.Models) > 0 {
		at = p.pool.coverOf(p.backend.Models[0])
	}
	p.pool.limits.observe(p.backend.ID, at, demands)
}
