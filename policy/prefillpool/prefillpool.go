// Package prefillpool chooses the engine that prefills a prompt: the prefill engine with the
// shortest expected delay, or the decode engine that will generate the answer.
//
// Load pattern: prompts arrive four times as fast as usual for a second or two, at several
// routers, for two or three engines that prefill one prompt after the other. A router that
// knows only its own load and the prefill times of a moment ago notices a backlog of two
// seconds when its own prompts are queued in it; a prompt given up there is prefilled twice. So
// routers report to each other how many tokens they have sent to each engine that are not
// prefilled yet, and the delay is estimated from that backlog and the rate of an engine. In a
// replay of two such seconds at five routers one prompt takes longer than half a second, and
// seven without the reports.
//
// A decode engine prefills at half the rate, in chunks between the decode steps of its runs,
// which all wait meanwhile. So it prefills a prompt only when that is faster by a factor that
// grows with the number of those runs: on an idle engine no run is delayed.
//
// A request whose decode engine is lost is sent again, and its prompt, 5,200 tokens in the mean, is
// prefilled once more. The engine that prefilled it keeps it in its prefix cache until other
// prompts take the memory, so a Request names the engines that have prefilled its prompt, and only
// what is expected to be evicted since counts there.
//
// A Pool is deterministic, takes the time from its caller, and is not safe for concurrent
// use.
package prefillpool

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Config tunes a Pool.
type Config struct {
	// PerToken is the prefill time per token that is assumed until a rate is learned.
	PerToken time.Duration
	// CrossZone is the penalty for an engine in another zone: about the extra time of a transfer
	// between zones, with its price.
	CrossZone time.Duration
	// Preference is the largest penalty by which a router prefers some of several equal engines:
	// routers that have all just started have no reports from each other yet, and would all choose
	// the same engine.
	Preference time.Duration
	// Failure is the penalty for an engine that fails every request.
	Failure time.Duration
	// BackOff is how long an engine whose exports can't be fetched gets no prompts.
	BackOff time.Duration
	// DecodePrefillFactor is how many times longer a decode engine takes for a prompt,
	// InterferenceFactor by how much more that counts when all its decode slots are taken. With
	// a DecodePrefillFactor of zero it prefills no prompt while a prefill engine can.
	DecodePrefillFactor, InterferenceFactor float64
	// CachedBonus is how much more the time for prefilling the cached part of a prompt counts:
	// prefilling it again also delays the prompts of others.
	CachedBonus float64
	// TimeoutFactor is how many times the expected time a prefill may take, MinTimeout the
	// shortest timeout: an idle engine needs some 200 ms for a long prompt.
	TimeoutFactor float64
	MinTimeout    time.Duration
}

// DefaultConfig returns the default values; see docs/DECISIONS.md.
func DefaultConfig() Config {
	return Config{
		PerToken: 20 * time.Microsecond, CrossZone: 27 * time.Millisecond, Preference: 20 * time.Millisecond, Failure: 2 * time.Second, BackOff: 2 * time.Second,
		DecodePrefillFactor: 2, InterferenceFactor: 4, CachedBonus: 1, TimeoutFactor: 3, MinTimeout: 600 * time.Millisecond,
	}
}

// Pool is one router's local state about the prefill engines of one service.
type Pool struct {
	cfg Config
	// seed is the name of this router.
	seed string
	// rate estimates the prefill rate of an engine; outliers tracks failing engines.
	rate     stages.PrefillRate
	outliers *outlier.Tracker
	engines  map[string]*engine
	handOver handOver
}

// engine is the state of one prefill engine.
type engine struct {
	// own and peers are the tokens that this router and its peers sent to it and that are not
	// prefilled yet.
	own, peers int
	// ownHeld and peersHeld are the tokens of their exported prompts that no decode engine has fetched.
	ownHeld, peersHeld int
	// arrived is the tokens known to have been sent to it since the start, by any router.
	arrived int64
	// avoidUntil is until when it gets no prompts.
	avoidUntil time.Time
	// preference is how much this router prefers it, in [0, 1).
	preference float64
	// slowdown is the moving average of actual to expected prefill times.
	slowdown   float64
	observedAt time.Time
}

// New returns an empty pool for the router with the name seed.
func New(cfg Config, seed string) *Pool {
	return &Pool{cfg: cfg, seed: seed, outliers: outlier.New(), engines: map[string]*engine{}}
}

// Request is a prompt to prefill.
type Request struct {
	// Tokens is its length.
	Tokens int
	// Zone is that of the decode engine.
	Zone string
	// SlotLoad is the share of the decode engine's slots that are taken, in [0, 1].
	SlotLoad float64
	// Memory is that of an engine, in tokens; zero if it is unknown.
	Memory int
	// Exclude lists the engines that must not get the prompt.
	Exclude []string
	// Verdicts are those on the engines.
	Verdicts eligibility.Verdicts
	// Prefilled are the engines that have prefilled the prompt before.
	Prefilled []Prefilled
	// Left is the time until the deadline of the request, ReservationLeft that until its reservation at the
	// decode engine lapses; zero if there is none.
	Left, ReservationLeft time.Duration
}

// Choice is the engine that prefills a prompt.
type Choice struct {
	Server registry.Server
	// Expected is the estimated time until the prompt is prefilled, Timeout the time after which
	// the prefill is given up.
	Expected, Timeout time.Duration
	// Tokens is the part of the prompt that is expected to be prefilled; the rest is cached.
	Tokens int
}

// Pick returns the engine with the shortest expected delay. It returns false when the decode
// engine has to prefill the prompt.
func (p *Pool) Pick(servers []registry.Server, q Request, now time.Time) (Choice, bool) {
	var best Choice
	var lowest time.Duration
	var bestVerdict eligibility.Verdict
	for _, s := range servers {
		if s.Stage != registry.Prefill || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		e := p.engine(s.ID)
		if now.Before(e.avoidUntil) || e.outOfMemory(q) {
			continue
		}
		tokens := q.Tokens - e.cached(s.ID, q)
		expected := p.expected(e, tokens, now)
		if p.tooLate(q, expected, now) {
			continue
		}
		cost := expected + p.penalty(s, q.Zone, now) + time.Duration(float64(p.cfg.Preference)*(1-e.preference))
		cost -= time.Duration(p.cfg.CachedBonus * float64(q.Tokens-tokens) * float64(p.perToken()))
		none := best.Server.ID == ""
		better := none || cost < lowest
		if !better && !bestVerdict.LastResort {
			continue
		}
		v := q.Verdicts.Of(s.ID, now)
		if !v.Excluded && (none || v.Precedes(&bestVerdict, better)) {
			best, lowest, bestVerdict = Choice{Server: s, Expected: expected, Tokens: tokens}, cost, v
		}
	}
	if best.Server.ID == "" || lowest > p.decodePrefillCost(q) {
		return Choice{}, false
	}
	// The prompt may have been evicted after all.
	whole := p.expected(p.engine(best.Server.ID), q.Tokens, now)
	best.Timeout = max(time.Duration(p.cfg.TimeoutFactor*float64(whole)), p.cfg.MinTimeout)
	return best, true
}

// outOfMemory reports whether an engine has no memory for one more prompt: it holds each from
// its arrival until the export is fetched, and rejects what doesn't fit, at the cost of a retry.
func (e *engine) outOfMemory(q Request) bool {
	used := e.own + e.peers + e.ownHeld + e.peersHeld
	return q.Memory > 0 && used > 0 && used+q.Tokens > q.Memory
}

// decodePrefillCost is the cost of a prefill by the decode engine.
func (p *Pool) decodePrefillCost(q Request) time.Duration {
	if p.cfg.DecodePrefillFactor == 0 {
		return math.MaxInt64
	}
	factor := p.cfg.DecodePrefillFactor * (1 + p.cfg.InterferenceFactor*q.SlotLoad)
	return time.Duration(factor * float64(q.Tokens) * float64(p.perToken()))
}

// expected is the time in which an engine prefills its backlog and that many more tokens.
func (p *Pool) expected(e *engine, tokens int, now time.Time) time.Duration {
	backlog := float64(e.own + e.peers + tokens)
	return time.Duration(backlog * float64(p.perToken()) * e.currentSlowdown(now))
}

// penalty is the cost of choosing an engine apart from its backlog.
func (p *Pool) penalty(s registry.Server, zone string, now time.Time) time.Duration {
	cost := time.Duration(float64(p.cfg.Failure) * p.outliers.ExcessFailureRate(s.ID, now))
	if s.Zone != zone {
		cost += p.cfg.CrossZone
	}
	if p.outliers.Ejected(s.ID, now) {
		cost += p.cfg.Failure
	}
	return cost
}

// perToken is the time in which an engine prefills one token.
func (p *Pool) perToken() time.Duration {
	if rate := p.rate.TokensPerSecond(); rate > 0 {
		return time.Duration(float64(time.Second) / rate)
	}
	return p.cfg.PerToken
}

const (
	// slowdownTTL is how long an engine counts as slow after a prefill, so that slow engines are
	// tried again.
	slowdownTTL = 3 * time.Second
	// slowdownWeight is the weight of the latest prefill in the moving average.
	slowdownWeight = 0.3
	// maxSlowdown bounds the effect of one prefill.
	maxSlowdown = 20
)

func (e *engine) currentSlowdown(now time.Time) float64 {
	if e.slowdown <= 1 || now.Sub(e.observedAt) >= slowdownTTL {
		return 1
	}
	return e.slowdown
}

// Begin records that an engine was sent a prompt of which it has to prefill a number of tokens. It
// returns the Mark for its Prefilled entry.
func (p *Pool) Begin(id string, tokens int) (mark int64) {
	e := p.engine(id)
	e.own += tokens
	e.arrived += int64(tokens)
	return e.arrived
}

// End records the outcome and the duration of a prefill for which Begin was called with c.Tokens; tokens
// is the length of the whole prompt. A prefill that found part of the prompt in the cache shows nothing
// about the engine's rate.
func (p *Pool) End(c Choice, tokens int, ok bool, took time.Duration, now time.Time) {
	p.Cancel(c.Server.ID, c.Tokens)
	e := p.engine(c.Server.ID)
	p.outliers.Observe(c.Server.ID, ok, now)
	if c.Tokens < tokens {
		return
	}
	if ok {
		p.rate.Observe(tokens, took)
	}
	ratio := min(took.Seconds()/max(c.Expected.Seconds(), time.Millisecond.Seconds()), maxSlowdown)
	e.slowdown = (1-slowdownWeight)*e.currentSlowdown(now) + slowdownWeight*ratio
	e.observedAt = now
}

// Cancel records that a prompt for which Begin was called is not prefilled, for a reason that shows nothing about the
// engine.
func (p *Pool) Cancel(id string, tokens int) {
	e := p.engine(id)
	e.own = max(e.own-tokens, 0)
}

// Exported records that an engine holds a prompt of that many tokens, until Released is called.
func (p *Pool) Exported(id string, tokens int) { p.engine(id).ownHeld += tokens }

// Released records that an engine no longer holds a prompt for which Exported was called.
func (p *Pool) Released(id string, tokens int) {
	e := p.engine(id)
	e.ownHeld = max(e.ownHeld-tokens, 0)
}

// BackOff records that an export of an engine can't be fetched.
func (p *Pool) BackOff(id string, now time.Time) { p.engine(id).avoidUntil = now.Add(p.cfg.BackOff) }

// Conditions calls add with the conditions of an engine that the Pool knows: that an export could
// not be fetched, and that prompts fail there. The cost of failing is the probability.
func (p *Pool) Conditions(id string, now time.Time, add func(eligibility.Condition)) {
	if e, ok := p.engines[id]; ok && now.Before(e.avoidUntil) {
		add(eligibility.Condition{Reason: eligibility.ExportLost, Author: eligibility.Router, Until: e.avoidUntil})
	}
	p.outliers.Conditions(id, 1, now, add)
}

// SetPeerHeld sets the tokens of exported prompts of all other routers that an engine holds.
func (p *Pool) SetPeerHeld(id string, tokens int) {
	if _, ok := p.engines[id]; ok || tokens > 0 {
		p.engine(id).peersHeld = tokens
	}
}

// SetPeerLoad sets the tokens that all other routers sent to an engine.
func (p *Pool) SetPeerLoad(id string, tokens int) {
	e, ok := p.engines[id]
	if !ok && tokens > 0 {
		e = p.engine(id)
	}
	if e != nil {
		e.arrived += int64(max(tokens-e.peers, 0))
		e.peers = tokens
	}
}

// OwnLoad returns the tokens that this router sent to an engine and that are not prefilled yet.
func (p *Pool) OwnLoad(id string) int {
	if e, ok := p.engines[id]; ok {
		return e.own
	}
	return 0
}

// OwnHeld returns the tokens of exported prompts of this router that an engine holds.
func (p *Pool) OwnHeld(id string) int {
	if e, ok := p.engines[id]; ok {
		return e.ownHeld
	}
	return 0
}

// TokensPerSecond returns the prefill rate of one engine; zero while it is unknown.
func (p *Pool) TokensPerSecond() float64 { return p.rate.TokensPerSecond() }

// Forget drops the engines for which keep returns false.
func (p *Pool) Forget(keep func(id string) bool) {
	p.outliers.Forget(keep)
	for id, e := range p.engines {
		if !keep(id) && e.own == 0 && e.ownHeld == 0 {
			delete(p.engines, id)
		}
	}
}

func (p *Pool) engine(id string) *engine {
	e, ok := p.engines[id]
	if !ok {
		e = &engine{preference: affinity.Of(p.seed, id)}
		p.engines[id] = e
	}
	return e
}
