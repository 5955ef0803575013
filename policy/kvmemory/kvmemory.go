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
// A Pool is deterministic and takes the time from its caller. It is not safe for
// concurrent use.
package kvmemory

import (
	"hash/fnv"
	"slices"
	"time"
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
	// HomeBonus is the most that chance counts, as a share of an engine's memory. It
	// differs by router, so that routers whose views are equal choose differently.
	HomeBonus float64
	// LateSpare is the share of an engine's memory that stays free when a late request is
	// placed there: about two requests of the usual size.
	LateSpare float64
}

// DefaultConfig returns the values that were measured; see docs/MEASUREMENTS.md.
func DefaultConfig() Config {
	return Config{Backoff: 150 * time.Millisecond, FailBackoff: time.Second, ZoneBonus: 0.1, HomeBonus: 0.1, LateSpare: 0.25}
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
}

type server struct {
	Server
	// listed is false once the engine may get no new work; it stays while work of
	// this router is on it.
	listed bool
	// own and runs are the tokens and requests that this router placed, others those
	// that other routers reported.
	own, runs, others int
	// refused is the size of the smallest request refused until the time blocked.
	refused int
	blocked time.Time
	home    float64
	// fails counts failures since a request last worked.
	fails int
}

// New returns an empty pool. Seed differs between routers.
func New(cfg Config, seed string) *Pool {
	return &Pool{cfg: cfg, seed: seed, servers: map[string]*server{}}
}

// Sync takes the list of engines that may get new work.
func (p *Pool) Sync(list []Server) {
	for _, s := range p.servers {
		s.listed = false
	}
	for _, l := range list {
		s, ok := p.servers[l.ID]
		if !ok {
			s = &server{home: chance(p.seed, l.ID)}
			p.servers[l.ID] = s
		}
		s.Server, s.listed = l, true
	}
	for id, s := range p.servers {
		if !s.listed && s.runs == 0 {
			delete(p.servers, id)
		}
	}
}

// chance maps a pair of names to [0, 1).
func chance(seed, id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(seed))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// Ask is what a request asks of a pool.
type Ask struct {
	// Need is the memory that it needs, in tokens.
	Need int
	// Late is set when it can't be answered within its objective any more.
	Late bool
	// Zone is that of the router.
	Zone string
	// Exclude are engines that must not get the request.
	Exclude []string
}

// Pick returns the engine to ask for room. It returns false when none is thought to have
// it.
func (p *Pool) Pick(a Ask, now time.Time) (string, bool) {
	var best *server
	var bestScore float64
	for id, s := range p.servers {
		if !p.fits(s, a, now) || slices.Contains(a.Exclude, id) {
			continue
		}
		score := p.score(s, a.Zone)
		if best == nil || score > bestScore || (score == bestScore && id < best.ID) {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

func (s *server) free() int { return s.Capacity - s.own - s.others }

func (p *Pool) fits(s *server, a Ask, now time.Time) bool {
	room := a.Need
	if a.Late {
		room += int(p.cfg.LateSpare * float64(s.Capacity))
	}
	if !s.listed || s.free() < room {
		return false
	}
	if s.Slots > 0 && s.runs >= s.Slots {
		return false
	}
	return a.Need < s.refused || !now.Before(s.blocked)
}

func (p *Pool) score(s *server, zone string) float64 {
	score := float64(s.free()) / float64(max(s.Capacity, 1))
	score += p.cfg.HomeBonus * s.home
	if s.Zone == zone {
		score += p.cfg.ZoneBonus
	}
	return score
}

// Take notes that need tokens are asked for or used at an engine.
func (p *Pool) Take(id string, need int) {
	if s, ok := p.servers[id]; ok {
		s.own += need
		s.runs++
	}
}

// Release notes that the request of need tokens that was taken is over. Memory is free
// again, so that an earlier refusal says nothing any more.
func (p *Pool) Release(id string, need int) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.own -= need
	s.runs--
	s.blocked = time.Time{}
	if !s.listed && s.runs == 0 {
		delete(p.servers, id)
	}
}

// Refuse notes that an engine refused need tokens, which were taken before.
func (p *Pool) Refuse(id string, need int, now time.Time) {
	p.block(id, need, need, now.Add(p.cfg.Backoff))
}

// Fail notes that an engine gave no answer when need tokens were asked for, or took no
// run though it had granted memory: it gets nothing for a while, longer each time.
func (p *Pool) Fail(id string, need int, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	p.block(id, need, 0, now.Add(p.cfg.FailBackoff<<min(s.fails, maxDoublings)))
	s.fails++
}

// maxDoublings bounds the pauses of an engine that goes on failing to eight times the first.
const maxDoublings = 3

// Worked notes that an engine ran a request.
func (p *Pool) Worked(id string) {
	if s, ok := p.servers[id]; ok {
		s.fails = 0
	}
}

func (p *Pool) block(id string, taken, refused int, until time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.own -= taken
	s.runs--
	s.refused, s.blocked = refused, until
}

// Share is what a router placed on one engine.
type Share struct {
	ID     string
	Tokens int
}

// Own returns what this router placed, ordered by engine.
func (p *Pool) Own() []Share {
	var out []Share
	for id, s := range p.servers {
		if s.own > 0 {
			out = append(out, Share{ID: id, Tokens: s.own})
		}
	}
	slices.SortFunc(out, func(a, b Share) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// OwnTotal is what this router placed on all engines, in tokens.
func (p *Pool) OwnTotal() int {
	sum := 0
	for _, s := range p.servers {
		sum += s.own
	}
	return sum
}

// OwnAt is what this router placed on one engine, in tokens.
func (p *Pool) OwnAt(id string) int {
	if s, ok := p.servers[id]; ok {
		return s.own
	}
	return 0
}

// SetOthers takes the sum of what all other routers placed on one engine. When it has
// become less, an earlier refusal says nothing any more.
func (p *Pool) SetOthers(id string, tokens int) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	if tokens < s.others && s.fails == 0 {
		s.blocked = time.Time{}
	}
	s.others = tokens
}

// Capacity and Used are the memory of all engines that may get new work, and what is
// known to be placed there, in tokens.
func (p *Pool) Capacity() (capacity, used int) {
	for _, s := range p.servers {
		if s.listed {
			capacity += s.Capacity
			used += s.own + s.others
		}
	}
	return capacity, used
}
