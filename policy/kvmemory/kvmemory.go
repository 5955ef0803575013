// Package kvmemory chooses the decode engine whose memory has room for a request.
//
// Load pattern: bursts of about twice the mean load on engines whose memory holds some
// ten requests, with several routers that place independently. Slots, processors and
// links have room then; memory is what runs out. The engine alone knows what is free,
// and says so by granting or refusing a reservation. Asking every engine for every
// waiting request costs calls and time, so a router keeps what it knows: what it
// placed itself, what others told of theirs, and who refused what, a moment ago.
//
// Requests that were turned away come back late, when an answer is worth a fraction to
// their callers. Each router lets them wait behind those that can be in time, but it does
// not see who waits at the others: where one has only returners, they took the memory for
// which others turned requests away, which made more returners. So a late request takes an
// engine's memory only where room is left beside it (trunk reservation): in a lull there
// is, at the height of a burst there isn't.
//
// A run's memory grows from its prompt to perhaps twice that, and nobody knows how long it
// will be. Not all runs of an engine are at their largest at once: when the young ones are,
// the old ones have ended. So what has to fit is the most that all runs of an engine hold
// together at any moment ahead, with a margin for what is not known of their lengths
// (peak-memory scheduling, as in "Past-Future Scheduler for LLM Serving under SLA
// Guarantees", ASPLOS 2025). In a replay of bursts 925 requests begin in time, 851 where the
// sum of prompts and hints has to fit.
//
// A Pool is deterministic and takes the time from its caller. It is not safe for
// concurrent use.
package kvmemory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
)

// Config tunes a Pool.
type Config struct {
	// Backoff is how long a refusal of an engine counts, unless memory that this
	// router placed there is freed before. A decode step takes some 5 ms and a run a
	// few seconds, so that a full engine of ten requests frees one each 150 to 400 ms.
	Backoff time.Duration
	// FailBackoff is how long an engine that gave no answer gets no request. A server
	// that is gone leaves the list after some four seconds.
	FailBackoff time.Duration
	// ZoneBonus is what the own zone counts, as a share of an engine's memory; a
	// hand-off and a stream between zones cost bytes, which are priced.
	ZoneBonus float64
	// LateSpare is the share of an engine's memory that stays free when a late request is
	// placed there: about two requests of the usual size.
	LateSpare float64
	// Stagger is how long routers leave memory that has become free to each router before them:
	// as long as it takes to hear that another one has taken it. With 23 routers half as many
	// runs are preempted as without turns, and 8 ms is no better.
	Stagger time.Duration
	// MaxStagger bounds the turns of all routers together: a request that can be in time waits
	// some six times as long.
	MaxStagger time.Duration
	// Margin is by how much the memory that runs are expected to hold together has to stay below
	// an engine's.
	Margin Margin
}

// DefaultConfig returns the values that were measured; see docs/DECISIONS.md.
func DefaultConfig() Config {
	return Config{Backoff: 150 * time.Millisecond, FailBackoff: time.Second, ZoneBonus: 0.1, LateSpare: 0.25, Margin: DefaultMargin(), Stagger: 4 * time.Millisecond, MaxStagger: 100 * time.Millisecond}
}

// Server is a decode engine.
type Server struct {
	ID, Zone string
	// Capacity is its memory in tokens, Slots the requests that it runs at once.
	Capacity, Slots int
}

// Pool is what one router knows of the decode engines of one service.
type Pool struct {
	cfg     Config
	seed    string
	servers map[string]*server
	// ordered are the servers by their names: what is learned must not depend on the order
	// of a map.
	ordered []*server
	pace    pace
	// heard is what was told of engines that are not known yet, or not any more: a router
	// learns of an engine only with the first request after a change of the list. Without it ten
	// of 23 routers placed a run on one that had come back, each as if it were empty.
	heard map[string]Load
	// routers is the number of routers that place runs.
	routers int
}

type server struct {
	Server
	// listed is false once the engine may get no new work; it stays while work of
	// this router is on it.
	listed bool
	// runs are those that this router placed, own what they hold as of the time at; others
	// is what other routers reported.
	runs        []*Run
	own, others Load
	at          time.Time
	// all is the forecast of own and others.
	all Forecast
	// refused is the size of the smallest request refused until the time blocked.
	refused int
	blocked time.Time
	// home is the affinity of this router to it.
	home float64
	// freed is when a run was last heard to have ended there, pause the mean time between two
	// of them.
	freed time.Time
	pause time.Duration
	// fails counts failures since a request last worked.
	fails int
}

// New returns an empty pool. Seed differs between routers.
func New(cfg Config, seed string) *Pool {
	return &Pool{cfg: cfg, seed: seed, servers: map[string]*server{}, heard: map[string]Load{}, routers: 1}
}

// Sync takes the list of engines that may get new work.
func (p *Pool) Sync(list []Server) {
	for _, s := range p.servers {
		s.listed = false
	}
	for _, l := range list {
		s, ok := p.servers[l.ID]
		if !ok {
			s = &server{home: affinity.Of(p.seed, l.ID), others: p.heard[l.ID], pause: maxPause}
			p.servers[l.ID] = s
			delete(p.heard, l.ID)
		}
		s.Server, s.listed = l, true
	}
	for _, s := range p.servers {
		if !s.listed && len(s.runs) == 0 {
			p.forget(s)
		}
	}
	p.order()
}

// forget drops an engine, but for what others told of it.
func (p *Pool) forget(s *server) {
	delete(p.servers, s.ID)
	p.hear(s.ID, s.others)
}

func (p *Pool) hear(id string, l Load) {
	if l == (Load{}) {
		delete(p.heard, id)
		return
	}
	p.heard[id] = l
}

func (p *Pool) order() {
	p.ordered = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// SetRouters takes the number of routers that place runs, this one included.
func (p *Pool) SetRouters(n int) { p.routers = max(n, 1) }

// forecastLife is how long a forecast of the own runs holds: they grow by two events in it.
const forecastLife = 100 * time.Millisecond

// refresh brings the own load of an engine up to date.
func (p *Pool) refresh(s *server, now time.Time) {
	if !s.at.IsZero() && now.Sub(s.at) < forecastLife {
		return
	}
	s.at = now
	s.own = Load{Runs: len(s.runs)}
	for _, r := range s.runs {
		p.pace.look(r, now)
		s.own.Tokens += r.Need
		r.add(&s.own.Forecast, p.pace.perSecond())
	}
	s.sum()
}

// sum brings all up to date.
func (s *server) sum() {
	s.all = s.own.Forecast
	s.all.Add(&s.others.Forecast, 1)
}

// stale has the own load of an engine worked out anew.
func (s *server) stale() { s.at = time.Time{} }

// Place notes that a run is placed, or about to be placed, on an engine.
func (p *Pool) Place(id string, r *Run) {
	if s, ok := p.servers[id]; ok {
		s.runs = append(s.runs, r)
		s.own.Runs++
		s.own.Tokens += r.Need
		s.stale()
	}
}

// drop takes a run off an engine.
func (s *server) drop(r *Run) {
	i := slices.Index(s.runs, r)
	if i < 0 {
		return
	}
	s.runs = slices.Delete(s.runs, i, i+1)
	s.own.Runs--
	s.own.Tokens -= r.Need
	s.stale()
}

// Release notes that a run that was taken is over. Memory is free again, so that an earlier
// refusal says nothing any more.
func (p *Pool) Release(id string, r *Run, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.drop(r)
	s.blocked = time.Time{}
	s.ended(now)
	if !s.listed && len(s.runs) == 0 {
		p.forget(s)
		p.order()
	}
}

// Refused notes that an engine refused a run, which was taken before.
func (p *Pool) Refused(id string, r *Run, now time.Time) {
	p.block(id, r, r.Need, now.Add(p.cfg.Backoff))
}

// Failed notes that an engine gave no answer when it was asked for room, or took no run though
// it had granted memory: it gets nothing for a while, longer each time.
func (p *Pool) Failed(id string, r *Run, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	p.block(id, r, 0, now.Add(p.cfg.FailBackoff<<min(s.fails, maxDoublings)))
	s.fails++
}

// maxDoublings bounds the pauses of an engine that goes on failing to eight times the first.
const maxDoublings = 3

// Succeeded notes that an engine ran a request.
func (p *Pool) Succeeded(id string) {
	if s, ok := p.servers[id]; ok {
		s.fails = 0
	}
}

func (p *Pool) block(id string, r *Run, refused int, until time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.drop(r)
	s.refused, s.blocked = refused, until
}

// Share is what a router placed on one engine.
type Share struct {
	ID string
	Load
}

// OwnLoads returns what this router placed, ordered by engine.
func (p *Pool) OwnLoads(now time.Time) []Share {
	var out []Share
	for _, s := range p.ordered {
		if len(s.runs) > 0 {
			out = append(out, Share{ID: s.ID, Load: p.OwnLoad(s.ID, now)})
		}
	}
	return out
}

// TokensPerRouter is a router's share of what all routers placed on all engines, in tokens: what it may expect to
// find free as runs end, whoever placed them.
func (p *Pool) TokensPerRouter() float64 {
	sum := 0
	for _, s := range p.servers {
		sum += s.own.Tokens + s.others.Tokens
	}
	return float64(sum) / float64(p.routers)
}

// OwnLoad is what this router placed on one engine.
func (p *Pool) OwnLoad(id string, now time.Time) Load {
	s, ok := p.servers[id]
	if !ok {
		return Load{}
	}
	p.refresh(s, now)
	return s.own
}

// SlotLoad is the share of an engine's places that are taken, in [0, 1].
func (p *Pool) SlotLoad(id string) float64 {
	s, ok := p.servers[id]
	if !ok || s.Slots <= 0 {
		return 1
	}
	return min(float64(s.own.Runs+s.others.Runs)/float64(s.Slots), 1)
}

// SetPeerLoad takes the sum of what all other routers placed on one engine. When it has
// become less, an earlier refusal says nothing any more.
func (p *Pool) SetPeerLoad(id string, l Load, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		p.hear(id, l)
		return
	}
	if l.Tokens < s.others.Tokens && s.fails == 0 {
		s.blocked = time.Time{}
	}
	if l.Runs < s.others.Runs {
		s.ended(now)
	}
	s.others = l
	s.sum()
}

// Capacity and Used are the memory of all engines that may get new work, and what is
// known to be placed there, in tokens.
func (p *Pool) Capacity() (capacity, used int) {
	for _, s := range p.servers {
		if s.listed {
			capacity += s.Capacity
			used += s.own.Tokens + s.others.Tokens
		}
	}
	return capacity, used
}
