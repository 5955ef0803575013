package placement

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/engine"
)

// estimator computes expected times from hints.
type estimator struct {
	cfg Config
}

// Times are the expected times of one choice, whichever picker made it.
type Times struct {
	// Queue is the wait before the prefill starts, and Prefill the duration of the prefill itself.
	Queue, Prefill time.Duration
	// TTFT is the time to the first token.
	TTFT time.Duration
}

// Estimate returns the expected times of a pair of servers; for a mixed server, both are the same
// candidate.
func Estimate(cfg Config, req Request, prefill, decode *Candidate) Times {
	e := estimator{cfg}
	p := e.estimatePair(&req, prefill, decode)
	return Times{Queue: e.prefillQueue(prefill), Prefill: p.prefillTime, TTFT: p.ttft}
}

// serverPair is one way to serve the request, with its estimate.
type serverPair struct {
	prefill, decode *Candidate
	// ttft is the expected time to the first token, and prefillTime the part of it spent on the
	// prefill itself.
	ttft, prefillTime time.Duration
	score             time.Duration
	// slotsUsed is the estimated number of decode slots in use.
	slotsUsed   float64
	outstanding int
}

// estimatePair estimates one way to serve a request. For a mixed server, prefill and decode are
// the same candidate.
//
// The decode slot is reserved before the prefill starts, so the wait for it overlaps with the
// prefill. A mixed server waits for the slot and in its prefill queue at the same time.
func (e *estimator) estimatePair(req *Request, prefill, decode *Candidate) serverPair {
	p := serverPair{prefill: prefill, decode: decode}
	p.prefillTime = e.prefillTime(req, prefill)
	queue := e.prefillQueue(prefill)
	wait := e.decodeWait(decode)
	p.slotsUsed = e.slotsUsed(decode)
	p.outstanding = decode.Outstanding
	if prefill == decode {
		p.ttft = max(queue, wait) + p.prefillTime
	} else {
		p.ttft = max(queue+p.prefillTime, wait) + e.transferTime(req, prefill, decode)
		p.outstanding += prefill.Outstanding
	}
	p.ttft += decode.Load.Step + e.crossZoneTime(req, prefill, decode)
	p.score = e.score(req, &p)
	return p
}

// score adds the preferences for less prefill work and for the caller's zone while the target can
// be met.
func (e *estimator) score(req *Request, p *serverPair) time.Duration {
	if !e.withinSlack(req, p) {
		return p.ttft
	}
	s := p.ttft + time.Duration(e.workWeight(req)*float64(p.prefillTime))
	if p.decode.Zone != req.Zone || p.prefill.Zone != req.Zone {
		s += time.Duration(e.cfg.OwnZoneMargin * float64(req.TTFTLeft))
	}
	return s
}

func (e *estimator) withinSlack(req *Request, p *serverPair) bool {
	return float64(p.ttft) <= e.cfg.Slack*float64(req.TTFTLeft)
}

func (e *estimator) workWeight(req *Request) float64 {
	if len(e.cfg.WorkWeight) == 0 {
		return 0
	}
	return e.cfg.WorkWeight[min(max(int(req.Urgency), 0), len(e.cfg.WorkWeight)-1)]
}

// prefillTime is the time to prefill the uncached part; at least one block is always recomputed.
func (e *estimator) prefillTime(req *Request, c *Candidate) time.Duration {
	cached := float64(min(c.CachedTokens, req.PromptTokens)) * c.CacheConfidence
	uncached := max(float64(req.PromptTokens)-cached, min(engine.PrefixBlockTokens, float64(req.PromptTokens)))
	return timeAtRate(uncached, orPrior(c.Rates.PrefillTokensPerSecond, e.cfg.Prior.PrefillTokensPerSecond))
}

// prefillQueue is the wait before a prefill starts. The reported backlog shrinks with the age of
// the report.
func (e *estimator) prefillQueue(c *Candidate) time.Duration {
	placed := timeAtRate(float64(c.TokensSinceReport), orPrior(c.Rates.PrefillTokensPerSecond, e.cfg.Prior.PrefillTokensPerSecond))
	return e.blend(c, max(c.Load.PrefillBacklog-c.Load.Age, 0), e.cfg.PriorBacklog) + placed
}

// decodeWait is the expected wait for a decode slot, including the probability that requests not
// yet reported take the last free slots.
func (e *estimator) decodeWait(c *Candidate) time.Duration {
	slots := e.slots(c)
	if slots <= 0 {
		return 0
	}
	used := e.slotsUsed(c)
	releaseInterval := float64(e.cfg.MeanSlotTime) / slots
	if excess := used + 1 - slots; excess > 0 {
		return time.Duration((excess + 1) * releaseInterval)
	}
	return time.Duration(math.Pow(used/slots, slots) * releaseInterval)
}

func (e *estimator) slots(c *Candidate) float64 {
	if c.Load.Known && c.Load.Slots > 0 {
		return float64(c.Load.Slots)
	}
	return float64(e.cfg.PriorSlots)
}

// slotsUsed includes queued requests and the caller's own placements since the report.
func (e *estimator) slotsUsed(c *Candidate) float64 {
	w := e.reportWeight(c)
	reported := float64(c.Load.SlotsUsed + c.Load.Queued)
	return w*reported + (1-w)*e.cfg.PriorUtilization*e.slots(c) + float64(c.PlacedSinceReport)
}

// transferTime is the time to transfer the KV cache over the decode server's inbound link.
func (e *estimator) transferTime(req *Request, prefill, decode *Candidate) time.Duration {
	perToken := orPrior(decode.Rates.KVBytesPerToken, e.cfg.Prior.KVBytesPerToken)
	sendTime := func(tokens int) time.Duration {
		return timeAtRate(float64(tokens)*perToken, orPrior(decode.Rates.LinkBytesPerSecond, e.cfg.Prior.LinkBytesPerSecond))
	}
	queue := e.blend(decode, max(decode.Load.LinkBacklog-decode.Load.Age, 0), 0)
	t := queue + sendTime(req.PromptTokens)
	if prefill.Zone != decode.Zone {
		t += e.cfg.CrossZoneDelay
	}
	return t
}

// crossZoneTime is the time of the messages between the caller and servers in other zones: one
// round trip to each.
func (e *estimator) crossZoneTime(req *Request, prefill, decode *Candidate) time.Duration {
	var t time.Duration
	if decode.Zone != req.Zone {
		t += e.cfg.CrossZoneDelay
	}
	if prefill != decode && prefill.Zone != req.Zone {
		t += e.cfg.CrossZoneDelay
	}
	return t
}

// blend weights a reported time against the prior by the age of the report.
func (e *estimator) blend(c *Candidate, reported, prior time.Duration) time.Duration {
	w := e.reportWeight(c)
	return time.Duration(w*float64(reported) + (1-w)*float64(prior))
}

// reportWeight is the weight of the report of c against the prior, in [0, 1].
func (e *estimator) reportWeight(c *Candidate) float64 {
	if !c.Load.Known {
		return 0
	}
	if e.cfg.HalfLife <= 0 || c.Load.Age <= 0 {
		return 1
	}
	return math.Exp2(-float64(c.Load.Age) / float64(e.cfg.HalfLife))
}

func timeAtRate(amount, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return bounded.Seconds(amount / rate)
}

func orPrior(value, prior float64) float64 {
	if value > 0 {
		return value
	}
	return prior
}
