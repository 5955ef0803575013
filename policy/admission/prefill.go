package admission

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
)

const (
	// paceGain is the weight of a new measurement in the moving average of the pace of a class.
	paceGain = 0.1
	// minPace and maxPace bound the pace: the measured time for a token, relative to the nominal
	// one.
	minPace = 0.02
	maxPace = 10
)

// PrefillConfig configures a Prefill. A prefill server computes one prompt at a time.
type PrefillConfig struct {
	// Window is how many prefills are submitted to the engine at once: the one that it computes
	// and those that it may start by itself afterwards.
	Window int
	// TokensPerSecond is the nominal rate of uncached prefill.
	TokensPerSecond float64
	// MaxWait bounds the queueing time of requests without a target.
	MaxWait time.Duration
	// MaxQueued bounds the number of queued requests.
	MaxQueued int
	// FIFO serves requests in order of arrival, regardless of customer and urgency.
	FIFO bool
}

// DefaultPrefillConfig returns the default configuration of a server with the given rate.
func DefaultPrefillConfig(tokensPerSecond float64) PrefillConfig {
	return PrefillConfig{Window: 1, TokensPerSecond: tokensPerSecond, MaxWait: DefaultMaxWait, MaxQueued: DefaultMaxQueued}
}

// activePrefill is a prefill that was submitted to the engine and has not completed.
type activePrefill struct {
	request PrefillRequest
	cost    time.Duration
}

// Prefill is the state machine of the queue of one prefill server.
type Prefill struct {
	cfg PrefillConfig
	// paces are the measured times for a prompt token by class, relative to the nominal one.
	// They are below 1 where a large part of the prompts is cached.
	paces  map[classKey]float64
	queue  *fairshare.Queue[Key]
	queued map[Key]PrefillRequest
	active []activePrefill // in the order submitted; the first is being computed
	// startedAt is when the engine started the first active prefill.
	startedAt time.Time
	retries   retrySchedule
}

// NewPrefill returns an idle Prefill.
func NewPrefill(cfg PrefillConfig) *Prefill {
	return &Prefill{
		cfg:    cfg,
		paces:  make(map[classKey]float64),
		queue:  fairshare.New[Key](fairshare.DefaultConfig(cfg.Window)),
		queued: make(map[Key]PrefillRequest),
	}
}

// Submit requests a prefill. The decision is Rejected or Queued; Advance returns when it is to
// start. The call is idempotent.
func (p *Prefill) Submit(now time.Time, r PrefillRequest) Decision {
	if p.cfg.FIFO {
		r.Customer, r.Share, r.Urgency = "", 1, contract.Interactive
	}
	if p.has(r.Key) {
		return Decision{Key: r.Key, Verdict: Queued}
	}
	cost := p.Cost(r)
	budget := r.Budget
	if budget == 0 {
		budget = p.cfg.MaxWait + cost
	}
	wait := p.Wait(now, r.Customer, r.Share, r.Urgency)
	switch {
	case cost > budget:
		return p.reject(now, r, outcome.TargetUnreachable, 0)
	case wait+cost > budget, len(p.queued) >= p.cfg.MaxQueued:
		return p.reject(now, r, outcome.PrefillBacklog, wait+cost-budget)
	}
	p.queued[r.Key] = r
	p.queue.Push(now, fairshare.Item[Key]{
		Key: r.Key, Customer: r.Customer, Weight: r.Share, Urgency: r.Urgency,
		Cost: cost, Deadline: now.Add(max(budget-cost, 1)),
	})
	return Decision{Key: r.Key, Verdict: Queued}
}

// Advance returns the prefills to start now (Granted), and the queued ones that can no longer
// complete in time (Rejected); those were never started.
func (p *Prefill) Advance(now time.Time) []Decision {
	var out []Decision
	for _, it := range p.queue.Expire(now) {
		r := p.queued[it.Key]
		delete(p.queued, it.Key)
		out = append(out, p.reject(now, r, outcome.PrefillBacklog, 0))
	}
	for len(p.active) < p.cfg.Window {
		it, ok := p.queue.Pop()
		if !ok {
			break
		}
		if len(p.active) == 0 {
			p.startedAt = now
		}
		p.active = append(p.active, activePrefill{p.queued[it.Key], it.Cost})
		delete(p.queued, it.Key)
		out = append(out, Decision{Key: it.Key, Verdict: Granted})
	}
	return out
}

// NextWake returns when to call Advance if no other call comes before; false means never.
func (p *Prefill) NextWake() (time.Time, bool) {
	return p.queue.NextDeadline()
}

// Completed records that a prefill completed.
func (p *Prefill) Completed(now time.Time, key Key) {
	if len(p.active) > 0 && p.active[0].request.Key == key {
		p.observePace(p.active[0].request, now.Sub(p.startedAt))
	}
	p.remove(now, key)
}

func (p *Prefill) observePace(r PrefillRequest, took time.Duration) {
	k := classKey{r.Customer, r.Class}
	nominal := p.nominalTime(r.Tokens)
	if _, ok := p.paces[k]; nominal <= 0 || took <= 0 || !ok && len(p.paces) >= maxClasses {
		return
	}
	pace := p.pace(k)
	pace += paceGain * (float64(took)/float64(nominal) - pace)
	p.paces[k] = min(max(pace, minPace), maxPace)
}

// Cancel removes the prefill with the given key, queued or active. It reports whether there was one.
func (p *Prefill) Cancel(now time.Time, key Key) bool {
	if _, ok := p.queued[key]; ok {
		delete(p.queued, key)
		return p.queue.Remove(key)
	}
	return p.remove(now, key)
}

func (p *Prefill) remove(now time.Time, key Key) bool {
	i := slices.IndexFunc(p.active, func(a activePrefill) bool { return a.request.Key == key })
	if i < 0 {
		return false
	}
	p.queue.Release(p.active[i].request.Customer)
	p.active = slices.Delete(p.active, i, i+1)
	if i == 0 {
		p.startedAt = now
	}
	return true
}

// Wait estimates the time until a new prefill of the given customer, share and urgency would start.
func (p *Prefill) Wait(now time.Time, customer string, share float64, u contract.Urgency) time.Duration {
	return p.remainingTime(now) + p.queue.WorkAhead(customer, share, u)
}

// Backlog returns the expected time until all accepted prefills have completed.
func (p *Prefill) Backlog(now time.Time) time.Duration {
	return p.remainingTime(now) + p.queue.QueuedWork()
}

// Queued returns the number of queued prefills.
func (p *Prefill) Queued() int {
	return len(p.queued)
}

// Cost returns the expected time to compute r.
func (p *Prefill) Cost(r PrefillRequest) time.Duration {
	return time.Duration(p.pace(classKey{r.Customer, r.Class}) * float64(p.nominalTime(r.Tokens)))
}

func (p *Prefill) pace(k classKey) float64 {
	if pace, ok := p.paces[k]; ok {
		return pace
	}
	return 1
}

func (p *Prefill) nominalTime(tokens int) time.Duration {
	if p.cfg.TokensPerSecond <= 0 {
		return 0
	}
	return bounded.Seconds(float64(tokens) / p.cfg.TokensPerSecond)
}

// remainingTime returns the expected time until the active prefills have completed.
func (p *Prefill) remainingTime(now time.Time) time.Duration {
	var sum time.Duration
	for _, a := range p.active {
		sum += a.cost
	}
	if len(p.active) > 0 {
		sum -= min(now.Sub(p.startedAt), p.active[0].cost)
	}
	return sum
}

func (p *Prefill) has(key Key) bool {
	if _, ok := p.queued[key]; ok {
		return true
	}
	return slices.ContainsFunc(p.active, func(a activePrefill) bool { return a.request.Key == key })
}

func (p *Prefill) reject(now time.Time, r PrefillRequest, reason outcome.Reason, minWait time.Duration) Decision {
	after := p.retries.retryAfter(now, r.Key, minWait, p.Cost(r))
	return Decision{Key: r.Key, Verdict: Rejected, Reason: reason, RetryAfter: after}
}
