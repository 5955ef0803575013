package admission

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/fairshare"
)

const (
	// paceGain is the part that a new measurement has in the pace of a class.
	paceGain = 0.1
	// minPace and maxPace bound the pace, relative to the nominal one.
	minPace = 0.02
	maxPace = 10
)

// PrefillConfig describes a prefill server, which computes one prompt at a time.
type PrefillConfig struct {
	// Window is how many prefills are handed to the engine at once: the one it
	// computes and those that it may begin with no further word.
	Window int
	// TokensPerSecond is the nominal rate of uncached prefill.
	TokensPerSecond float64
	// MaxWait bounds the wait of work without a target.
	MaxWait time.Duration
	// MaxQueued bounds the amount of waiting work.
	MaxQueued int
	// FIFO serves in order of arrival, whatever the customer and urgency.
	FIFO bool
}

// DefaultPrefillConfig returns the settings for a server with the given rate.
func DefaultPrefillConfig(tokensPerSecond float64) PrefillConfig {
	return PrefillConfig{Window: 1, TokensPerSecond: tokensPerSecond, MaxWait: DefaultMaxWait, MaxQueued: DefaultQueue}
}

// job is a prefill handed to the engine.
type job struct {
	work PrefillRequest
	cost time.Duration
}

// Prefill is the state machine of one prefill server.
type Prefill struct {
	cfg PrefillConfig
	// paces are the times for a prompt token by class, relative to the nominal
	// one. They are below 1 where much of the prompts is cached.
	paces   map[classKey]float64
	queue   *fairshare.Queue[Key]
	waiting map[Key]PrefillRequest
	active  []job // in the order handed out; the first is being computed
	// began is when the engine began with the first active job.
	began   time.Time
	returns returns
}

// NewPrefill returns an idle server.
func NewPrefill(cfg PrefillConfig) *Prefill {
	return &Prefill{
		cfg:     cfg,
		paces:   make(map[classKey]float64),
		queue:   fairshare.New[Key](fairshare.DefaultConfig(cfg.Window)),
		waiting: make(map[Key]PrefillRequest),
	}
}

// Submit asks for a prefill. The decision is Rejected or Waiting; Advance says
// when it is to start. Repeating a call changes nothing.
func (p *Prefill) Submit(now time.Time, w PrefillRequest) Decision {
	if p.cfg.FIFO {
		w.Customer, w.Share, w.Urgency = "", 1, contract.Interactive
	}
	if p.has(w.Key) {
		return Decision{Key: w.Key, Verdict: Waiting}
	}
	cost := p.Cost(w)
	budget := w.Budget
	if budget == 0 {
		budget = p.cfg.MaxWait + cost
	}
	wait := p.Wait(now, w.Customer, w.Share, w.Urgency)
	switch {
	case cost > budget:
		return p.refuse(now, w, outcome.TargetUnreachable, 0)
	case wait+cost > budget, len(p.waiting) >= p.cfg.MaxQueued:
		return p.refuse(now, w, outcome.PrefillBacklog, wait+cost-budget)
	}
	p.waiting[w.Key] = w
	p.queue.Push(now, fairshare.Item[Key]{
		Key: w.Key, Customer: w.Customer, Weight: w.Share, Urgency: w.Urgency,
		Cost: cost, Deadline: now.Add(max(budget-cost, 1)),
	})
	return Decision{Key: w.Key, Verdict: Waiting}
}

// Advance returns the prefills to start now (Granted), and the waiting ones that
// can no longer be done in time (Rejected), which were never started.
func (p *Prefill) Advance(now time.Time) []Decision {
	var out []Decision
	for _, it := range p.queue.Expire(now) {
		w := p.waiting[it.Key]
		delete(p.waiting, it.Key)
		out = append(out, p.refuse(now, w, outcome.PrefillBacklog, 0))
	}
	for len(p.active) < p.cfg.Window {
		it, ok := p.queue.Pop()
		if !ok {
			break
		}
		if len(p.active) == 0 {
			p.began = now
		}
		p.active = append(p.active, job{p.waiting[it.Key], it.Cost})
		delete(p.waiting, it.Key)
		out = append(out, Decision{Key: it.Key, Verdict: Granted})
	}
	return out
}

// NextWake returns when Advance is due with no event before; false means never.
func (p *Prefill) NextWake() (time.Time, bool) {
	return p.queue.NextDeadline()
}

// Completed notes that a prefill was computed.
func (p *Prefill) Completed(now time.Time, key Key) {
	if len(p.active) > 0 && p.active[0].work.Key == key {
		p.learn(p.active[0].work, now.Sub(p.began))
	}
	p.finish(now, key)
}

func (p *Prefill) learn(w PrefillRequest, took time.Duration) {
	k := classKey{w.Customer, w.Class}
	nominal := p.nominal(w.Tokens)
	if _, ok := p.paces[k]; nominal <= 0 || took <= 0 || !ok && len(p.paces) >= maxClasses {
		return
	}
	pace := p.pace(k)
	pace += paceGain * (float64(took)/float64(nominal) - pace)
	p.paces[k] = min(max(pace, minPace), maxPace)
}

// Cancel gives up whatever is held under key. It reports whether there was any.
func (p *Prefill) Cancel(now time.Time, key Key) bool {
	if _, ok := p.waiting[key]; ok {
		delete(p.waiting, key)
		return p.queue.Remove(key)
	}
	return p.finish(now, key)
}

func (p *Prefill) finish(now time.Time, key Key) bool {
	i := slices.IndexFunc(p.active, func(j job) bool { return j.work.Key == key })
	if i < 0 {
		return false
	}
	p.queue.Release(p.active[i].work.Customer)
	p.active = slices.Delete(p.active, i, i+1)
	if i == 0 {
		p.began = now
	}
	return true
}

// Wait estimates the time until new work with the given terms would begin.
func (p *Prefill) Wait(now time.Time, customer string, share float64, u contract.Urgency) time.Duration {
	return p.residual(now) + p.queue.Ahead(customer, share, u)
}

// Backlog returns the time until all accepted work is done.
func (p *Prefill) Backlog(now time.Time) time.Duration {
	return p.residual(now) + p.queue.Work()
}

// Queued returns the number of prefills that wait.
func (p *Prefill) Queued() int {
	return len(p.waiting)
}

// Cost returns the expected time to compute w.
func (p *Prefill) Cost(w PrefillRequest) time.Duration {
	return time.Duration(p.pace(classKey{w.Customer, w.Class}) * float64(p.nominal(w.Tokens)))
}

func (p *Prefill) pace(k classKey) float64 {
	if pace, ok := p.paces[k]; ok {
		return pace
	}
	return 1
}

func (p *Prefill) nominal(tokens int) time.Duration {
	if p.cfg.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / p.cfg.TokensPerSecond * float64(time.Second))
}

// residual is the work left of what was handed to the engine.
func (p *Prefill) residual(now time.Time) time.Duration {
	var sum time.Duration
	for _, j := range p.active {
		sum += j.cost
	}
	if len(p.active) > 0 {
		sum -= min(now.Sub(p.began), p.active[0].cost)
	}
	return sum
}

func (p *Prefill) has(key Key) bool {
	if _, ok := p.waiting[key]; ok {
		return true
	}
	return slices.ContainsFunc(p.active, func(j job) bool { return j.work.Key == key })
}

func (p *Prefill) refuse(now time.Time, w PrefillRequest, reason outcome.Reason, need time.Duration) Decision {
	after := p.returns.after(now, w.Key, need, p.Cost(w))
	return Decision{Key: w.Key, Verdict: Rejected, Reason: reason, RetryAfter: after}
}
