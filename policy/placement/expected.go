package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// scoreStep is the resolution at which scores are compared.
const scoreStep = time.Millisecond

// expectedTimePicker picks by expected time to the first token among a few randomly sampled
// servers (power of d choices) and those with the longest cached prefix of the prompt. Sampling
// keeps callers with the same stale reports from all choosing the same server.
type expectedTimePicker struct {
	estimator
	prefill, decode, mixed roleSample
	pairs                  []serverPair
}

// Pick implements Picker.
func (x *expectedTimePicker) Pick(req Request, candidates []Candidate, rng *rand.Rand) []Choice {
	x.drawSamples(&req, candidates, rng)
	x.pairs = x.pairs[:0]
	for _, d := range x.decode.servers() {
		for _, p := range x.prefill.servers() {
			x.pairs = append(x.pairs, x.estimatePair(&req, p, d))
		}
	}
	for _, m := range x.mixed.servers() {
		x.pairs = append(x.pairs, x.estimatePair(&req, m, m))
	}
	slices.SortFunc(x.pairs, func(a, b serverPair) int { return x.compare(&req, &a, &b) })
	return x.choices()
}

func (x *expectedTimePicker) drawSamples(req *Request, candidates []Candidate, rng *rand.Rand) {
	n := max(x.cfg.Samples, 1)
	x.prefill.reset(n)
	x.decode.reset(n)
	x.mixed.reset(n)
	forEachEligible(req, candidates, func(c *Candidate) {
		switch c.Role {
		case engine.RolePrefill:
			x.prefill.offer(req, c, rng)
		case engine.RoleDecode:
			x.decode.offer(req, c, rng)
		case engine.RoleMixed:
			x.mixed.offer(req, c, rng)
		}
	})
}

// compare orders pairs outside avoided zones first, then those within the slack, then by score.
// Scores are compared in steps of scoreStep, which keeps the order transitive. Ties go to the pair
// with fewer decode slots in use, which keeps the time between tokens short, and then to the one
// with fewer outstanding requests of the caller.
func (x *expectedTimePicker) compare(req *Request, a, b *serverPair) int {
	if c := trueFirst(usesAvoidedZone(req, b), usesAvoidedZone(req, a)); c != 0 {
		return c
	}
	if c := trueFirst(x.withinSlack(req, a), x.withinSlack(req, b)); c != 0 {
		return c
	}
	if c := int(a.score/scoreStep) - int(b.score/scoreStep); c != 0 {
		return c
	}
	if c := cmp.Compare(math.Round(a.slotsUsed), math.Round(b.slotsUsed)); c != 0 {
		return c
	}
	if c := a.outstanding - b.outstanding; c != 0 {
		return c
	}
	return int(a.score - b.score)
}

// choices returns the best pair of each decode server, best first.
func (x *expectedTimePicker) choices() []Choice {
	var out []Choice
	for i := range x.pairs {
		p := &x.pairs[i]
		if slices.ContainsFunc(out, func(c Choice) bool { return c.Decode == p.decode.ID }) {
			continue
		}
		if out == nil {
			out = make([]Choice, 0, max(x.cfg.MaxChoices, 1))
		}
		out = append(out, Choice{Prefill: p.prefill.ID, Decode: p.decode.ID, ExpectedTTFT: p.ttft})
		if len(out) == cap(out) {
			break
		}
	}
	return out
}

func usesAvoidedZone(req *Request, p *serverPair) bool {
	return slices.Contains(req.AvoidZones, p.decode.Zone) || slices.Contains(req.AvoidZones, p.prefill.Zone)
}

// trueFirst returns -1 if only a is true, 1 if only b is true, and 0 otherwise.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// roleSample is a random sample of the servers of one role: up to size servers from the caller's
// zone, up to size from other zones, and the one with the longest expected cached prefix. Avoided
// zones are used only when no other zone has a server.
type roleSample struct {
	ownZone, otherZones, avoidedZones reservoir
	longestCached                     *Candidate
	longestTokens                     float64
	combined                          []*Candidate
}

func (s *roleSample) reset(size int) {
	s.ownZone.reset(size)
	s.otherZones.reset(size)
	s.avoidedZones.reset(size)
	s.longestCached, s.longestTokens = nil, 0
	s.combined = s.combined[:0]
}

func (s *roleSample) offer(req *Request, c *Candidate, rng *rand.Rand) {
	if slices.Contains(req.AvoidZones, c.Zone) {
		s.avoidedZones.offer(c, rng)
		return
	}
	if tokens := float64(c.CachedTokens) * c.CacheConfidence; tokens > s.longestTokens {
		s.longestCached, s.longestTokens = c, tokens
	}
	if c.Zone == req.Zone {
		s.ownZone.offer(c, rng)
		return
	}
	s.otherZones.offer(c, rng)
}

// servers returns the sample, which is combined at the first call after a reset.
func (s *roleSample) servers() []*Candidate {
	if len(s.combined) > 0 {
		return s.combined
	}
	s.combined = append(append(s.combined, s.ownZone.kept...), s.otherZones.kept...)
	if len(s.combined) == 0 {
		s.combined = append(s.combined, s.avoidedZones.kept...)
	}
	if s.longestCached != nil && !slices.Contains(s.combined, s.longestCached) {
		s.combined = append(s.combined, s.longestCached)
	}
	return s.combined
}

// reservoir is a uniform random sample of up to size of the candidates offered (reservoir
// sampling).
type reservoir struct {
	size, offered int
	kept          []*Candidate
}

func (r *reservoir) reset(size int) { *r = reservoir{size: size, kept: r.kept[:0]} }

func (r *reservoir) offer(c *Candidate, rng *rand.Rand) {
	r.offered++
	if len(r.kept) < r.size {
		r.kept = append(r.kept, c)
		return
	}
	if i := rng.IntN(r.offered); i < r.size {
		r.kept[i] = c
	}
}
