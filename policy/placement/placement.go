// Package placement chooses the backend servers for a request: one that
// prefills and one that decodes, or a mixed one that does both.
//
// All inputs are hints: the servers themselves decide whether they take the
// request, so a choice is where to ask first and the alternates where to ask
// next. Pickers are pure apart from their scratch memory and, for round robin,
// a counter. They are deterministic under a seeded source of randomness, and
// not safe for concurrent use.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Rates are the speeds of a backend server. Zero fields stand for the prior of Config.
type Rates struct {
	// PrefillTokensPerSecond is the rate of uncached prefill.
	PrefillTokensPerSecond float64
	// LinkBytesPerSecond is the rate of the inbound link for KV caches.
	LinkBytesPerSecond float64
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken float64
}

// Load is the latest report of a backend server.
type Load struct {
	// Known is false when no report has come yet; the rest is then not used.
	Known bool
	// Age is the time since the report was made.
	Age time.Duration
	// Slots and SlotsUsed count requests decoded at once.
	Slots, SlotsUsed int
	// Queued counts requests that wait for a place.
	Queued int
	// PrefillBacklog and LinkBacklog are the times until the accepted prefills
	// and transfers are done.
	PrefillBacklog, LinkBacklog time.Duration
	// Step is the time of one decode step.
	Step time.Duration
}

// Candidate is one backend server that serves the model of the request.
type Candidate struct {
	ID, Zone string
	Role     engine.Role
	Rates    Rates
	Load     Load
	// Outstanding counts the caller's own unfinished requests there.
	Outstanding int
	// PlacedSinceReport and TokensSinceReport count the caller's own requests, and their
	// uncached prompt tokens, placed there since the report was made.
	PlacedSinceReport, TokensSinceReport int
	// CachedTokens is the length of the prompt's prefix thought to be cached,
	// and CacheConfidence the probability of that, in [0, 1].
	CachedTokens    int
	CacheConfidence float64
}

// Request is what is to be placed.
type Request struct {
	// Zone is that of the caller.
	Zone string
	// PromptTokens and MaxTokens are the sizes of prompt and answer.
	PromptTokens, MaxTokens int
	Urgency                 contract.Urgency
	// TTFTLeft is the time left until the contract's target for the first token.
	TTFTLeft time.Duration
	// ExcludeIDs are backend servers that are not to be chosen at all.
	ExcludeIDs []string
	// AvoidZones are chosen from only when no other zone has a candidate.
	AvoidZones []string
}

// Choice is one pair of servers. Both are the same for a mixed server.
type Choice struct {
	Prefill, Decode string
	// Expected is the expected time to the first token; zero when the picker
	// doesn't estimate it.
	Expected time.Duration
}

// Mixed reports whether one server does both.
func (c Choice) Mixed() bool { return c.Prefill == c.Decode }

// Picker chooses servers. It returns the first choice and alternates with other
// decode servers, best first, or nothing when no pair can be formed. The slice
// belongs to the caller; req and candidates are not kept.
type Picker interface {
	Pick(req Request, candidates []Candidate, rng *rand.Rand) []Choice
}

// Config tunes the pickers.
type Config struct {
	// Choices is the most choices returned.
	Choices int
	// Samples is the number of servers drawn at random for each role and side
	// (own zone, other zones).
	Samples int
	// Prior stands for rates that a candidate doesn't state.
	Prior Rates
	// PriorUse, PriorBacklog and PriorPlaces are what an old report decays to.
	PriorUse     float64
	PriorBacklog time.Duration
	PriorPlaces  int
	// HalfLife is the age at which a report counts half against the prior.
	HalfLife time.Duration
	// MeanRun is the mean time that a decode place stays taken.
	MeanRun time.Duration
	// CrossZone is the added time of a hop between zones.
	CrossZone time.Duration
	// Slack is the part of TTFTLeft that an expected time has to keep within
	// for the preferences for zone and work saved to count.
	Slack float64
	// ZoneMargin is the part of TTFTLeft by which a pair outside the own zone
	// has to be better.
	ZoneMargin float64
	// WorkWeight is what a second of prefill work counts beside a second of
	// expected time, by urgency; the last stands for all later ones.
	WorkWeight []float64
}

// DefaultConfig returns settings for the sizes of the documentation.
func DefaultConfig() Config {
	return Config{
		Choices:      3,
		Samples:      2,
		Prior:        Rates{PrefillTokensPerSecond: 20_000, LinkBytesPerSecond: 5e9, KVBytesPerToken: 160e3},
		PriorUse:     0.85,
		PriorBacklog: 100 * time.Millisecond,
		PriorPlaces:  20,
		HalfLife:     time.Second,
		MeanRun:      6 * time.Second,
		CrossZone:    2 * time.Millisecond,
		Slack:        0.8,
		ZoneMargin:   0.1,
		WorkWeight:   []float64{0, 0.5, 1},
	}
}

// Names of the pickers.
const (
	Expected   = "expected"
	Random     = "random"
	RoundRobin = "roundrobin"
	LeastLoad  = "leastload"
)

// Names lists the pickers that New knows.
func Names() []string { return []string{Expected, Random, RoundRobin, LeastLoad} }

// New returns a picker by name.
func New(name string, cfg Config) (Picker, error) {
	switch name {
	case Expected:
		return &expected{estimator: estimator{cfg}}, nil
	case Random:
		return &baseline{cfg: cfg, order: byChance}, nil
	case RoundRobin:
		return &baseline{cfg: cfg, order: byTurn}, nil
	case LeastLoad:
		return &baseline{cfg: cfg, order: byReport}, nil
	default:
		return nil, fmt.Errorf("unknown placement %q, want one of %v", name, Names())
	}
}

// eligible calls use with each candidate that may be chosen.
func eligible(req *Request, candidates []Candidate, use func(*Candidate)) {
	for i := range candidates {
		if c := &candidates[i]; !slices.Contains(req.ExcludeIDs, c.ID) {
			use(c)
		}
	}
}
