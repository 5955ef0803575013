// Package kvmemory chooses a decode engine that has enough free KV cache memory for a request.
//
// Load pattern: bursts of about twice the mean load on engines whose memory holds some ten
// requests, with several routers that place requests independently. Decode slots, processors and
// links have free capacity then; memory is the bottleneck. Only the engine knows exactly how much
// is free, and it reports that by granting or refusing a reservation. Asking every engine for every
// queued request costs calls and time, so a router keeps a local estimate from its own placements,
// the load reported by peers, and recent refusals.
//
// Clients whose requests were rejected retry late, when an answer is worth only a fraction to them.
// Each router queues retried requests behind those that can still meet their latency objective, but
// it can't see the queues of other routers. A router that had only retried requests queued would
// let them take memory for which other routers reject requests, which causes more retries. A late
// request therefore takes an engine's memory only if free memory remains beside it (trunk
// reservation), which is the case between bursts but not at the height of one.
//
// A run's memory grows from the size of its prompt to perhaps twice that, and its final length is
// unknown. The runs of an engine don't all reach their largest size at once: by the time young runs
// do, old ones have ended. So the bound applies to the peak of the memory that all runs of an
// engine hold together at any future time, plus a margin for the uncertainty of their lengths
// (peak-memory scheduling, as in "Past-Future Scheduler for LLM Serving under SLA Guarantees",
// ASPLOS 2025). In a replay of bursts 925 requests begin in time, against 851 when the sum of
// prompts and length hints has to fit.
//
// A Pool is deterministic and takes the time from its caller. It is not safe for concurrent use.
package kvmemory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
)

// Config holds the parameters of a Pool.
type Config struct {
	// Backoff is how long a refusal by an engine counts, unless memory that this router placed
	// there is freed before. A decode step takes some 5 ms and a run a few seconds, so a full
	// engine with ten requests frees one every 150 to 400 ms.
	Backoff time.Duration
	// FailBackoff is how long an engine that did not answer gets no request. A server that is gone
	// leaves the server list after some four seconds.
	FailBackoff time.Duration
	// ZoneBonus is added to the score of engines in the router's own zone, as a share of an
	// engine's memory. Hand-offs and streams between zones transfer bytes that are charged for.
	ZoneBonus float64
	// LateSpare is the share of an engine's memory that must stay free when a late request is
	// placed there: about two requests of the usual size.
	LateSpare float64
	// Stagger is the difference between the delays after which successive routers use memory that
	// has become free: the time a router needs to learn that another one has taken it. With 23
	// routers it halves the number of preempted runs; 8 ms gives no further improvement.
	Stagger time.Duration
	// MaxStagger bounds the total staggered delay across all routers. Requests that can still meet
	// their latency objective are queued for up to some six times as long.
	MaxStagger time.Duration
	// Margin is the safety margin between the forecast memory of all runs and an engine's memory.
	Margin Margin
	// Pace weighs the engines' speed.
	Pace PaceConfig
}

// DefaultConfig returns the default parameters; see docs/DECISIONS.md for the measurements.
func DefaultConfig() Config {
	return Config{Backoff: 150 * time.Millisecond, FailBackoff: time.Second, ZoneBonus: 0.1, LateSpare: 0.25, Margin: DefaultMargin(), Stagger: 4 * time.Millisecond, MaxStagger: 100 * time.Millisecond, Pace: DefaultPace()}
}

// Server is a decode engine.
type Server struct {
	ID, Zone string
	// Capacity is its memory in tokens, Slots the number of requests that it runs concurrently.
	Capacity, Slots int
	// Version is the version of its software; empty if it is not known.
	Version string
}

// Pool is one router's local estimate of the load of the decode engines of one service.
type Pool struct {
	cfg     Config
	seed    string
	servers map[string]*server
	// sorted holds the servers by ID, so that learned estimates don't depend on map iteration
	// order.
	sorted []*server
	rate   rateEstimator
	// unlisted is the load reported by peers for engines that are not, or no longer, in the server
	// list: a router learns of an engine only with the first request after the list changes.
	// Without it ten of 23 routers placed a run on an engine that had returned, each assuming that
	// it was empty.
	unlisted map[string]Load
	// routers is the number of routers that place runs.
	routers int
	// pace is what is known of the engines' speed.
	pace fleetPace
}

type server struct {
	Server
	// listed is false once the engine may get no new work. The entry remains while runs of this
	// router are on the engine.
	listed bool
	// slow is set while the engine is several times slower than usual. paceClass is the class of its
	// expected time per token.
	slow      bool
	paceClass uint8
	// runs are those that this router placed. ownLoad is their load as of ownAt, peerLoad the load
	// reported by peers.
	runs              []*Run
	ownLoad, peerLoad Load
	ownAt             time.Time
	// total is the sum of the forecasts in ownLoad and peerLoad.
	total Forecast
	// refusedNeed is the size of the smallest request that is refused until blockedUntil.
	refusedNeed  int
	blockedUntil time.Time
	// affinity is this router's preference for the engine.
	affinity float64
	// freedAt is when the latest end of a run on the engine was reported, endInterval the mean
	// interval between two ends.
	freedAt     time.Time
	endInterval time.Duration
	// failures counts consecutive failures since the last successful request.
	failures int
	// observed is what this router's runs generated lately, pace the estimate from the observations
	// of all routers.
	observed enginepace.Window
	pace     enginepace.Estimate
}

// New returns an empty pool. The seed has to differ between routers.
func New(cfg Config, seed string) *Pool {
	return &Pool{cfg: cfg, seed: seed, servers: map[string]*server{}, unlisted: map[string]Load{}, routers: 1}
}

// Sync updates the pool to the list of engines that may get new work.
func (p *Pool) Sync(list []Server) {
	for _, s := range p.servers {
		s.listed = false
	}
	for _, listing := range list {
		s, ok := p.servers[listing.ID]
		if !ok {
			s = &server{affinity: affinity.Of(p.seed, listing.ID), peerLoad: p.unlisted[listing.ID], endInterval: maxEndInterval}
			p.servers[listing.ID] = s
			delete(p.unlisted, listing.ID)
		}
		s.Server, s.listed = listing, true
	}
	for _, s := range p.servers {
		if !s.listed && len(s.runs) == 0 {
			p.remove(s)
		}
	}
	p.sort()
}

// remove deletes an engine but retains the load reported by peers.
func (p *Pool) remove(s *server) {
	delete(p.servers, s.ID)
	p.setUnlisted(s.ID, s.peerLoad)
}

func (p *Pool) setUnlisted(id string, l Load) {
	if l == (Load{}) {
		delete(p.unlisted, id)
		return
	}
	p.unlisted[id] = l
}

func (p *Pool) sort() {
	p.sorted = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// SetRouters sets the number of routers that place runs, including this one.
func (p *Pool) SetRouters(n int) { p.routers = max(n, 1) }

// forecastTTL is how long a forecast of the router's own runs is reused. A run generates two events
// in that time.
const forecastTTL = 100 * time.Millisecond

// refresh recomputes the own load of an engine once it has expired.
func (p *Pool) refresh(s *server, now time.Time) {
	if !s.ownAt.IsZero() && now.Sub(s.ownAt) < forecastTTL {
		return
	}
	s.ownAt = now
	s.ownLoad = Load{Runs: len(s.runs)}
	for _, r := range s.runs {
		s.observe(r, now)
	}
	p.updatePace(s, now)
	for _, r := range s.runs {
		p.rate.sample(r, now)
		s.ownLoad.Tokens += r.Need
		r.addTo(&s.ownLoad.Forecast, p.rateAt(s))
	}
	s.updateTotal()
}

// updateTotal recomputes the total forecast.
func (s *server) updateTotal() {
	s.total = s.ownLoad.Forecast
	s.total.Add(&s.peerLoad.Forecast, 1)
}

// invalidate forces the next refresh to recompute the own load.
func (s *server) invalidate() { s.ownAt = time.Time{} }

// Place records that a run is placed, or about to be placed, on an engine.
func (p *Pool) Place(id string, r *Run) {
	p.Continue(id, r)
	p.PlaceCopy(id, r)
}

// PlaceCopy records that an engine holds, or will hold, a copy of a run that another engine executes, until Release is
// called. What the run generates shows nothing about the pace of the engine with the copy.
func (p *Pool) PlaceCopy(id string, r *Run) {
	if s, ok := p.servers[id]; ok {
		s.runs = append(s.runs, r)
		s.ownLoad.Runs++
		s.ownLoad.Tokens += r.Need
		s.invalidate()
	}
}

// Continue records that the engine with a copy of a run now executes it.
func (p *Pool) Continue(id string, r *Run) {
	r.engine = id
	r.resetPace()
}

func (s *server) removeRun(r *Run) {
	i := slices.Index(s.runs, r)
	if i < 0 {
		return
	}
	s.runs = slices.Delete(s.runs, i, i+1)
	s.ownLoad.Runs--
	s.ownLoad.Tokens -= r.Need
	s.invalidate()
}

// Release records the end of a run that was placed. Its memory is free again, which lifts an
// earlier refusal.
func (p *Pool) Release(id string, r *Run, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.observe(r, now)
	s.removeRun(r)
	s.blockedUntil = time.Time{}
	s.recordRunEnd(now)
	if !s.listed && len(s.runs) == 0 {
		p.remove(s)
		p.sort()
	}
}

// Refused records that an engine refused a run that was placed before.
func (p *Pool) Refused(id string, r *Run, now time.Time) {
	p.block(id, r, r.Need, now.Add(p.cfg.Backoff))
}

// Failed records that an engine did not answer a reservation, or did not accept a run after it had
// granted memory. The engine gets no requests for a while, with exponential backoff.
func (p *Pool) Failed(id string, r *Run, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	p.block(id, r, 0, now.Add(p.cfg.FailBackoff<<min(s.failures, maxDoublings)))
	s.failures++
}

// Condition returns that an engine gets no request since it failed, and whether that holds.
func (p *Pool) Condition(id string, now time.Time) (eligibility.Condition, bool) {
	s, ok := p.servers[id]
	if !ok || s.refusedNeed > 0 || !now.Before(s.blockedUntil) {
		return eligibility.Condition{}, false
	}
	return eligibility.Condition{Reason: eligibility.Unresponsive, Author: eligibility.Router, Until: s.blockedUntil}, true
}

// maxDoublings bounds the backoff of an engine that fails repeatedly to eight times the first one.
const maxDoublings = 3

// Succeeded records that an engine ran a request.
func (p *Pool) Succeeded(id string) {
	if s, ok := p.servers[id]; ok {
		s.failures = 0
	}
}

func (p *Pool) block(id string, r *Run, refusedNeed int, until time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.removeRun(r)
	s.refusedNeed, s.blockedUntil = refusedNeed, until
}
