// Package prefillpool chooses who reads a prompt: the prefill engine that will have read it
// first, or the decode engine that will generate the answer.
//
// Load pattern: prompts arrive four times as fast as usual for a second or two, at several
// routers, before two or three engines that read one prompt after the other. A router that
// knows only what it sent itself, and how long readings took a moment ago, notices a line of
// two seconds when its own prompts stand in it; a prompt given up there is read twice. So
// routers tell each other how many tokens they have sent to each engine and not got back, and
// the time until a prompt is read is reckoned from that line and the pace of an engine. In a
// replay of two such seconds at five routers one prompt is read later than in half a second,
// seven where lines are not told.
//
// A decode engine reads at half the pace, a piece at a time between the steps of the runs
// beside it, which all wait meanwhile. So it reads a prompt when that is sooner by a factor
// that grows with the number of those runs: an empty engine disturbs nobody.
//
// A Pool is deterministic, takes the time from its caller, and is not safe for concurrent
// use.
package prefillpool

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Config tunes a Pool.
type Config struct {
	// PerToken stands for the time in which an engine reads a token while none was learned.
	PerToken time.Duration
	// Zone is about what a hand-off between zones takes longer, with its price.
	Zone time.Duration
	// Spread is by how much a router prefers some engines to others that are alike: those that know nothing of each other
	// yet, since all have just started, would all choose the same one.
	Spread time.Duration
	// Failing is the cost of an engine that fails every request.
	Failing time.Duration
	// Shun is how long an engine whose exports can't be fetched reads no prompts.
	Shun time.Duration
	// Self is by how much longer a decode engine takes for a prompt, Disturbed by how much
	// more that counts when its places are all taken. With a Self of zero it reads none while
	// a prefill engine may.
	Self, Disturbed float64
	// LimitTimes is how many times the expected time a reading may take, LimitMin the least
	// limit: an idle engine needs some 200 ms for a long prompt.
	LimitTimes float64
	LimitMin   time.Duration
}

// DefaultConfig returns the values that were measured; see docs/DECISIONS.md.
func DefaultConfig() Config {
	return Config{
		PerToken: 20 * time.Microsecond, Zone: 27 * time.Millisecond, Spread: 20 * time.Millisecond, Failing: 2 * time.Second, Shun: 2 * time.Second,
		Self: 2, Disturbed: 4, LimitTimes: 3, LimitMin: 600 * time.Millisecond,
	}
}

// Pool is what one router knows of the prefill engines of one service.
type Pool struct {
	cfg Config
	// seed is the name of this router.
	seed string
	// rate is how fast an engine reads, outliers how readings ended.
	rate     stages.PrefillRate
	outliers *outlier.Tracker
	readers  map[string]*reader
}

// reader is one engine.
type reader struct {
	// own and others are the tokens sent to it that were not read yet, by this router and by
	// the others.
	own, others int
	// shunned is until when it reads nothing.
	shunned time.Time
	// home is by how much this router prefers it, in [0, 1).
	home float64
	// slow is by how much longer than expected it took lately.
	slow float64
	seen time.Time
}

// New returns an empty pool of the router of that name.
func New(cfg Config, seed string) *Pool {
	return &Pool{cfg: cfg, seed: seed, outliers: outlier.New(), readers: map[string]*reader{}}
}

// Ask is a prompt to be read.
type Ask struct {
	// Tokens is its length.
	Tokens int
	// Zone is that of the decode engine.
	Zone string
	// Crowd is the share of the decode engine's places that are taken, in [0, 1].
	Crowd float64
	// Memory is that of an engine, in tokens; zero if it is not known.
	Memory int
	// Exclude are engines that must not get it.
	Exclude []string
	// Avoid reports whether an engine gets it only if no other one may, Closed whether it must not get it now; nil means none.
	Avoid, Closed func(id string) bool
}

// Choice is the engine that is to read a prompt.
type Choice struct {
	Server registry.Server
	// Expected is when it will have read it, Limit when it is to be given up.
	Expected, Limit time.Duration
}

// Pick returns the engine that will have read the prompt first. It returns false when the
// decode engine is to read it.
func (p *Pool) Pick(servers []registry.Server, a Ask, now time.Time) (Choice, bool) {
	var best Choice
	var least time.Duration
	bestAvoided := false
	for _, s := range servers {
		if s.Stage != registry.Prefill || slices.Contains(a.Exclude, s.ID) {
			continue
		}
		r := p.reader(s.ID)
		if now.Before(r.shunned) || r.full(a) {
			continue
		}
		expected := p.expected(r, a.Tokens, now)
		cost := expected + p.aside(s, a.Zone, now) + time.Duration(float64(p.cfg.Spread)*(1-r.home))
		avoided := a.Avoid != nil && a.Avoid(s.ID)
		better := best.Server.ID == "" || bestAvoided && !avoided || avoided == bestAvoided && cost < least
		if better && (a.Closed == nil || !a.Closed(s.ID)) {
			best, least, bestAvoided = Choice{Server: s, Expected: expected}, cost, avoided
		}
	}
	if best.Server.ID == "" || least > p.self(a) {
		return Choice{}, false
	}
	best.Limit = max(time.Duration(p.cfg.LimitTimes*float64(best.Expected)), p.cfg.LimitMin)
	return best, true
}

// full reports whether an engine has no memory for one more prompt: it keeps each from when it comes until what was read
// of it is fetched, and refuses what doesn't fit, at the cost of a repeat.
func (r *reader) full(a Ask) bool {
	line := r.own + r.others
	return a.Memory > 0 && line > 0 && line+a.Tokens > a.Memory
}

// self is what reading by the decode engine costs.
func (p *Pool) self(a Ask) time.Duration {
	if p.cfg.Self == 0 {
		return math.MaxInt64
	}
	factor := p.cfg.Self * (1 + p.cfg.Disturbed*a.Crowd)
	return time.Duration(factor * float64(a.Tokens) * float64(p.perToken()))
}

// expected is when an engine will have read that many more tokens.
func (p *Pool) expected(r *reader, tokens int, now time.Time) time.Duration {
	line := float64(r.own + r.others + tokens)
	return time.Duration(line * float64(p.perToken()) * r.slowness(now))
}

// aside is what speaks against an engine besides its line.
func (p *Pool) aside(s registry.Server, zone string, now time.Time) time.Duration {
	cost := time.Duration(float64(p.cfg.Failing) * p.outliers.ExcessFailureRate(s.ID, now))
	if s.Zone != zone {
		cost += p.cfg.Zone
	}
	if p.outliers.Suspected(s.ID, now) {
		cost += p.cfg.Failing
	}
	return cost
}

// perToken is the time in which an engine reads a token.
func (p *Pool) perToken() time.Duration {
	if rate := p.rate.TokensPerSecond(); rate > 0 {
		return time.Duration(float64(time.Second) / rate)
	}
	return p.cfg.PerToken
}

const (
	// slowLife is how long an engine counts as slow after a reading: those that turned slow
	// are tried again in time.
	slowLife = 3 * time.Second
	// slowShare is what the newest reading counts.
	slowShare = 0.3
	// slowMost bounds what one reading can say.
	slowMost = 20
)

func (r *reader) slowness(now time.Time) float64 {
	if r.slow <= 1 || now.Sub(r.seen) >= slowLife {
		return 1
	}
	return r.slow
}

// Begin notes that a prompt was sent to an engine.
func (p *Pool) Begin(id string, tokens int) { p.reader(id).own += tokens }

// End notes how the reading that began ended, and how long it took.
func (p *Pool) End(c Choice, tokens int, ok bool, took time.Duration, now time.Time) {
	r := p.reader(c.Server.ID)
	r.own = max(r.own-tokens, 0)
	p.outliers.Observe(c.Server.ID, ok, now)
	if ok {
		p.rate.Observe(tokens, took)
	}
	ratio := min(took.Seconds()/max(c.Expected.Seconds(), time.Millisecond.Seconds()), slowMost)
	r.slow = (1-slowShare)*r.slowness(now) + slowShare*ratio
	r.seen = now
}

// Shun notes that what an engine read can't be fetched.
func (p *Pool) Shun(id string, now time.Time) { p.reader(id).shunned = now.Add(p.cfg.Shun) }

// SetOthers takes the tokens that all other routers sent to an engine.
func (p *Pool) SetOthers(id string, tokens int) {
	r, ok := p.readers[id]
	if !ok && tokens > 0 {
		r = p.reader(id)
	}
	if r != nil {
		r.others = tokens
	}
}

// OwnAt is the tokens that this router sent to an engine and that were not read yet.
func (p *Pool) OwnAt(id string) int {
	if r, ok := p.readers[id]; ok {
		return r.own
	}
	return 0
}

// PerSecond is the tokens that one engine reads in a second; zero while it is not known.
func (p *Pool) PerSecond() float64 { return p.rate.TokensPerSecond() }

// Forget drops engines that keep does not want.
func (p *Pool) Forget(keep func(id string) bool) {
	p.outliers.Forget(keep)
	for id, r := range p.readers {
		if !keep(id) && r.own == 0 {
			delete(p.readers, id)
		}
	}
}

func (p *Pool) reader(id string) *reader {
	r, ok := p.readers[id]
	if !ok {
		r = &reader{home: affinity.Of(p.seed, id)}
		p.readers[id] = r
	}
	return r
}
