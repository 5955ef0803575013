package kvmemory

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

// Request describes a request to be placed.
type Request struct {
	// Run is the run of the request.
	Run *Run
	// Deadline is when the run has to end; zero if that is not known. Delay is the time until it
	// generates its first token at an engine.
	Deadline time.Time
	Delay    time.Duration
	// GiveUpAt is when the request is rejected if no engine was chosen; zero if that is not known.
	GiveUpAt time.Time
	// Late is set when the request can no longer meet its latency objective.
	Late bool
	// Yields is set when the request leaves memory that has become free to requests of other routers, as a late one
	// does, but without keeping memory free for them.
	Yields bool
	// Zone is the router's zone.
	Zone string
	// Exclude are engines that must not get the request.
	Exclude []string
	// Version is the software version that the engine must have; empty for any. Withheld are versions whose engines must
	// not get the request.
	Version  string
	Withheld []string
	// Verdicts are those on the engines. A last resort is chosen only if no other engine is estimated
	// to have enough free memory.
	Verdicts eligibility.Verdicts
}

// Pick returns the engine to ask for a reservation, or false if none is estimated to have enough
// free memory, or if the run would probably end in time only at engines that have none at the moment.
func (p *Pool) Pick(r Request, now time.Time) (string, bool) {
	best, free := p.pick(&r, now)
	if best == nil || p.waitsForSpeed(best, &r, now) {
		return "", false
	}
	r.Run.FreeAtPeak = int(free)
	return best.ID, true
}

// pick returns the best engine and its memory, in tokens, that remains free at the peak; nil if none
// has enough.
func (p *Pool) pick(r *Request, now time.Time) (best *server, bestFree float64) {
	var bestScore float64
	var bestVerdict eligibility.Verdict
	p.updateFleet(now)
	p.pace.choice++
	maxMiss := p.maxMiss(r, now)
	o := p.optionAt(0, r, now)
	for _, s := range p.sorted {
		if !p.eligible(s, r, now) || slices.Contains(r.Exclude, s.ID) {
			continue
		}
		p.refresh(s, now)
		if s.paceClass != o.class {
			o = p.optionAt(s.paceClass, r, now)
		}
		free := p.freeAtPeak(s, &o.forecast)
		if free < p.spare(s, r.Late, o.need) || p.deferred(s, r.Late || r.Yields, now) {
			continue
		}
		score := p.score(s, free, r.Zone) + o.bias
		if s.slow || o.miss > maxMiss {
			score -= lastResortPenalty
		}
		better := best == nil || score > bestScore || score == bestScore && s.affinity > best.affinity
		if !better && !bestVerdict.LastResort {
			continue
		}
		v := r.Verdicts.Of(s.ID, now)
		if !v.Excluded && (best == nil || v.Precedes(&bestVerdict, better)) {
			best, bestScore, bestFree, bestVerdict = s, score, free, v
		}
	}
	return best, bestFree
}

// eligible reports whether an engine may be asked, apart from its free memory.
func (p *Pool) eligible(s *server, r *Request, now time.Time) bool {
	if !s.listed || s.Slots > 0 && s.ownLoad.Runs+s.peerLoad.Runs >= s.Slots {
		return false
	}
	if r.Version != "" && s.Version != r.Version || slices.Contains(r.Withheld, s.Version) {
		return false
	}
	return r.Run.Need < s.refusedNeed || !now.Before(s.blockedUntil)
}

// freeAtPeak is the memory of an engine, in tokens, that remains free at the forecast peak with the
// requested run placed there. The forecast of the engine's runs has to be fresh.
func (p *Pool) freeAtPeak(s *server, requested *Forecast) float64 {
	return float64(s.Capacity) - peak(p.cfg.Margin, &s.total, requested)
}

// saturationTolerance is the share of an engine's memory by which the placed load has to exceed it
// before the engine counts as saturated, since a run that grows a little past its estimate is no
// reason to leave. Of two runs that were placed at the same moment, one that stays beyond it is likely
// to be preempted.
const saturationTolerance = 0.03

// Saturated reports whether the load now known to be placed on an engine exceeds its memory, as
// happens when routers choose it within the same few milliseconds, before they receive each other's
// placements. A run that has only reserved memory there loses little by moving to another engine;
// if it stays, it or another run is preempted and its prompt prefilled again. In a replay of 68
// routers, leaving saturated engines reduces the number of preempted runs to a fifth.
func (p *Pool) Saturated(id string, now time.Time) bool {
	s, ok := p.servers[id]
	if !ok {
		return false
	}
	p.refresh(s, now)
	var empty Forecast
	return p.freeAtPeak(s, &empty) < -saturationTolerance*float64(s.Capacity)
}

const (
	// maxEndInterval bounds a single interval between two ends of runs, and is the initial value of
	// the mean.
	maxEndInterval = time.Second
	// endIntervalWeight is the weight of the newest interval in the moving average.
	endIntervalWeight = 0.2
)

// recordRunEnd records that a run has ended on an engine.
func (s *server) recordRunEnd(now time.Time) {
	interval := min(now.Sub(s.freedAt), maxEndInterval)
	s.endInterval += time.Duration(endIntervalWeight * float64(interval-s.endInterval))
	s.freedAt = now
}

// deferred reports whether this router still leaves memory that has become free to other routers.
// All routers learn of free memory at the same time, and every router with queued requests would
// place one before the others' placements are reported. Late requests, and those that yield, are
// delayed until after the staggered delays of all routers. The two delays together take at most two
// thirds of the mean interval between two ends, so that every router can also place runs on engines
// with many short runs.
func (p *Pool) deferred(s *server, last bool, now time.Time) bool {
	longest := min(time.Duration(p.routers-1)*p.cfg.Stagger, p.cfg.MaxStagger, s.endInterval/3)
	delay := time.Duration((1 - s.affinity) * float64(longest))
	if last {
		delay += longest
	}
	return now.Sub(s.freedAt) < delay
}

// spare is the memory that has to remain free, in tokens, beside a request that needs that much on an
// empty engine. A late request that an empty engine can hold, but not beside LateSpare, leaves free
// what remains of an empty engine.
func (p *Pool) spare(s *server, late bool, need float64) float64 {
	if !late {
		return 0
	}
	capacity := float64(s.Capacity)
	return max(min(p.cfg.LateSpare*capacity, capacity-need), 0)
}

func (p *Pool) score(s *server, free float64, zone string) float64 {
	score := free / float64(max(s.Capacity, 1))
	if s.Zone == zone {
		score += p.cfg.ZoneBonus
	}
	return score
}
