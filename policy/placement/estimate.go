package placement

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// estimator works out times from hints.
type estimator struct {
	cfg Config
}

// Times are expected for one choice, whichever picker made it.
type Times struct {
	// Queue is the wait before the prefill starts, and Prefill its own time.
	Queue, Prefill time.Duration
	// TTFT is the time to the first token.
	TTFT time.Duration
}

// Estimate returns what to expect of a pair of servers, the same candidate twice
// for a mixed one.
func Estimate(cfg Config, req Request, prefill, decode *Candidate) Times {
	e := estimator{cfg}
	p := e.pair(&req, prefill, decode)
	return Times{Queue: e.prefillQueue(prefill), Prefill: p.work, TTFT: p.first}
}

// pair is one way to serve the request.
type pair struct {
	prefill, decode *Candidate
	// first is the expected time to the first token and work the part of it
	// that is prefill work.
	first, work time.Duration
	score       time.Duration
	// used is the estimated number of decode places taken.
	used        float64
	outstanding int
}

// pair estimates one way to serve a request. Prefill and decode are the same
// candidate for a mixed server.
//
// The decode place is reserved before the prefill starts, so its wait runs
// beside the prefill. A mixed server waits for the place and its queue together.
func (e *estimator) pair(req *Request, prefill, decode *Candidate) pair {
	p := pair{prefill: prefill, decode: decode}
	p.work = e.prefillTime(req, prefill)
	queue := e.prefillQueue(prefill)
	wait := e.decodeWait(decode)
	p.used = e.placesUsed(decode)
	p.outstanding = decode.Outstanding
	if prefill == decode {
		p.first = max(queue, wait) + p.work
	} else {
		p.first = max(queue+p.work, wait) + e.transfer(req, prefill, decode)
		p.outstanding += prefill.Outstanding
	}
	p.first += decode.Load.Step + e.hops(req, prefill, decode)
	p.score = e.score(req, &p)
	return p
}

// score adds the preferences that count while the target can be met.
func (e *estimator) score(req *Request, p *pair) time.Duration {
	if !e.fits(req, p) {
		return p.first
	}
	s := p.first + time.Duration(e.workWeight(req)*float64(p.work))
	if p.decode.Zone != req.Zone || p.prefill.Zone != req.Zone {
		s += time.Duration(e.cfg.ZoneMargin * float64(req.TTFTLeft))
	}
	return s
}

func (e *estimator) fits(req *Request, p *pair) bool {
	return float64(p.first) <= e.cfg.Slack*float64(req.TTFTLeft)
}

func (e *estimator) workWeight(req *Request) float64 {
	if len(e.cfg.WorkWeight) == 0 {
		return 0
	}
	return e.cfg.WorkWeight[min(max(int(req.Urgency), 0), len(e.cfg.WorkWeight)-1)]
}

// prefillTime is the time to prefill the uncached part; at least one block is
// computed anew.
func (e *estimator) prefillTime(req *Request, c *Candidate) time.Duration {
	cached := float64(min(c.CachedTokens, req.PromptTokens)) * c.CacheConfidence
	uncached := max(float64(req.PromptTokens)-cached, min(engine.PrefixBlockTokens, float64(req.PromptTokens)))
	return seconds(uncached, or(c.Rates.PrefillTokensPerSecond, e.cfg.Prior.PrefillTokensPerSecond))
}

// prefillQueue is the wait before a prefill starts. A reported backlog shrinks
// as time passes.
func (e *estimator) prefillQueue(c *Candidate) time.Duration {
	own := seconds(float64(c.TokensSinceReport), or(c.Rates.PrefillTokensPerSecond, e.cfg.Prior.PrefillTokensPerSecond))
	return e.blend(c, max(c.Load.PrefillBacklog-c.Load.Age, 0), e.cfg.PriorBacklog) + own
}

// decodeWait is the wait until a decode place is free, counting the chance that
// the last places go to requests not yet reported.
func (e *estimator) decodeWait(c *Candidate) time.Duration {
	places := e.places(c)
	if places <= 0 {
		return 0
	}
	used := e.placesUsed(c)
	release := float64(e.cfg.MeanRun) / places
	if over := used + 1 - places; over > 0 {
		return time.Duration((over + 1) * release)
	}
	return time.Duration(math.Pow(used/places, places) * release)
}

func (e *estimator) places(c *Candidate) float64 {
	if c.Load.Known && c.Load.Slots > 0 {
		return float64(c.Load.Slots)
	}
	return float64(e.cfg.PriorPlaces)
}

// placesUsed counts those that wait as well, and the caller's own since the report.
func (e *estimator) placesUsed(c *Candidate) float64 {
	w := e.weight(c)
	reported := float64(c.Load.SlotsUsed + c.Load.Queued)
	return w*reported + (1-w)*e.cfg.PriorUse*e.places(c) + float64(c.PlacedSinceReport)
}

// transfer is the time for the KV cache to cross the link of the decode server.
func (e *estimator) transfer(req *Request, prefill, decode *Candidate) time.Duration {
	perToken := or(decode.Rates.KVBytesPerToken, e.cfg.Prior.KVBytesPerToken)
	bytes := func(tokens int) time.Duration {
		return seconds(float64(tokens)*perToken, or(decode.Rates.LinkBytesPerSecond, e.cfg.Prior.LinkBytesPerSecond))
	}
	queue := e.blend(decode, max(decode.Load.LinkBacklog-decode.Load.Age, 0), 0)
	t := queue + bytes(req.PromptTokens)
	if prefill.Zone != decode.Zone {
		t += e.cfg.CrossZone
	}
	return t
}

// hops is the time of the messages between the caller and servers in other
// zones: one round trip to each.
func (e *estimator) hops(req *Request, prefill, decode *Candidate) time.Duration {
	var t time.Duration
	if decode.Zone != req.Zone {
		t += e.cfg.CrossZone
	}
	if prefill != decode && prefill.Zone != req.Zone {
		t += e.cfg.CrossZone
	}
	return t
}

// blend weighs a reported time against the prior by the age of the report.
func (e *estimator) blend(c *Candidate, reported, prior time.Duration) time.Duration {
	w := e.weight(c)
	return time.Duration(w*float64(reported) + (1-w)*float64(prior))
}

// weight is the trust in the report of c, in [0, 1].
func (e *estimator) weight(c *Candidate) float64 {
	if !c.Load.Known {
		return 0
	}
	if e.cfg.HalfLife <= 0 || c.Load.Age <= 0 {
		return 1
	}
	return math.Exp2(-float64(c.Load.Age) / float64(e.cfg.HalfLife))
}

func seconds(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(amount / rate * float64(time.Second))
}

func or(value, prior float64) float64 {
	if value > 0 {
		return value
	}
	return prior
}
