// Package placement chooses the backend servers for a request: one that prefills and one that
// decodes, or a mixed one that does both.
//
// All inputs are hints: the servers themselves decide whether to accept the request, so the first
// choice is the server to ask first and the alternates are the ones to ask next. Pickers are pure
// apart from their scratch memory and, for round robin, a counter. They are deterministic for a
// given random source, and not safe for concurrent use.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Rates are the speeds of a backend server. A zero field means that Config.Prior applies.
type Rates struct {
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are prefilled.
	PrefillTokensPerSecond float64
	// LinkBytesPerSecond is the rate of the inbound link for KV caches.
	LinkBytesPerSecond float64
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken float64
}

// Load is the latest load report of a backend server.
type Load struct {
	// Known is false until the first report is received; the other fields are then ignored.
	Known bool
	// Age is the time since the report was made.
	Age time.Duration
	// Slots is the number of requests that can be decoded at once, SlotsUsed the number being
	// decoded.
	Slots, SlotsUsed int
	// Queued is the number of requests waiting for a decode slot.
	Queued int
	// PrefillBacklog and LinkBacklog are the times until the accepted prefills and transfers are
	// done.
	PrefillBacklog, LinkBacklog time.Duration
	// Step is the duration of one decode step.
	Step time.Duration
}

// Candidate is one backend server that serves the model of the request.
type Candidate struct {
	ID, Zone string
	Role     engine.Role
	Rates    Rates
	Load     Load
	// Outstanding is the number of the caller's own unfinished requests on the server.
	Outstanding int
	// PlacedSinceReport and TokensSinceReport count the caller's own requests, and their uncached
	// prompt tokens, placed on the server since the report was made.
	PlacedSinceReport, TokensSinceReport int
	// CachedTokens is the estimated length of the prompt's cached prefix, and CacheConfidence the
	// probability that it is cached, in [0, 1].
	CachedTokens    int
	CacheConfidence float64
}

// Request is the request to be placed.
type Request struct {
	// Zone is the caller's zone.
	Zone string
	// PromptTokens is the length of the prompt, MaxTokens the maximum length of the answer.
	PromptTokens, MaxTokens int
	Urgency                 contract.Urgency
	// TTFTLeft is the time left until the contract's target for the first token.
	TTFTLeft time.Duration
	// ExcludeIDs are backend servers that are never chosen.
	ExcludeIDs []string
	// AvoidZones are zones that are used only when no other zone has a candidate.
	AvoidZones []string
}

// Choice is a pair of servers; for a mixed server both are the same.
type Choice struct {
	Prefill, Decode string
	// ExpectedTTFT is the expected time to the first token, or zero if the picker doesn't estimate
	// it.
	ExpectedTTFT time.Duration
}

// Mixed reports whether one server does both prefill and decode.
func (c Choice) Mixed() bool { return c.Prefill == c.Decode }

// Picker chooses servers. It returns the first choice and alternates with other decode servers,
// best first, or nothing when no pair can be formed. The returned slice belongs to the caller; req
// and candidates are not retained.
type Picker interface {
	Pick(req Request, candidates []Candidate, rng *rand.Rand) []Choice
}

// Config tunes the pickers.
type Config struct {
	// MaxChoices is the maximum number of choices returned.
	MaxChoices int
	// Samples is the number of servers sampled for each role, from the caller's zone and from other
	// zones each.
	Samples int
	// Prior replaces rates that a candidate doesn't report.
	Prior Rates
	// PriorUtilization, PriorBacklog and PriorSlots are the values toward which an old report
	// decays.
	PriorUtilization float64
	PriorBacklog     time.Duration
	PriorSlots       int
	// HalfLife is the age at which the weight of a report against the prior is half.
	HalfLife time.Duration
	// MeanSlotTime is the mean time that a request occupies a decode slot.
	MeanSlotTime time.Duration
	// CrossZoneDelay is the time added by a hop between zones.
	CrossZoneDelay time.Duration
	// Slack is the fraction of TTFTLeft within which the expected time must be for the preferences
	// for the caller's zone and for less prefill work to apply.
	Slack float64
	// OwnZoneMargin is the fraction of TTFTLeft by which a pair outside the caller's zone must be
	// better.
	OwnZoneMargin float64
	// WorkWeight is the weight of a second of prefill work relative to a second of expected time,
	// by urgency; the last value applies to all higher urgencies.
	WorkWeight []float64
}

// DefaultConfig returns settings for the cluster sizes given in the documentation.
func DefaultConfig() Config {
	return Config{
		MaxChoices:       3,
		Samples:          2,
		Prior:            Rates{PrefillTokensPerSecond: 20_000, LinkBytesPerSecond: 5e9, KVBytesPerToken: 160e3},
		PriorUtilization: 0.85,
		PriorBacklog:     100 * time.Millisecond,
		PriorSlots:       20,
		HalfLife:         time.Second,
		MeanSlotTime:     6 * time.Second,
		CrossZoneDelay:   2 * time.Millisecond,
		Slack:            0.8,
		OwnZoneMargin:    0.1,
		WorkWeight:       []float64{0, 0.5, 1},
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
		return &expectedTimePicker{estimator: estimator{cfg}}, nil
	case Random:
		return &baselinePicker{cfg: cfg, order: orderRandom}, nil
	case RoundRobin:
		return &baselinePicker{cfg: cfg, order: orderRoundRobin}, nil
	case LeastLoad:
		return &baselinePicker{cfg: cfg, order: orderLeastLoad}, nil
	default:
		return nil, fmt.Errorf("unknown placement %q, want one of %v", name, Names())
	}
}

// forEachEligible calls visit with each candidate that may be chosen.
func forEachEligible(req *Request, candidates []Candidate, visit func(*Candidate)) {
	for i := range candidates {
		if c := &candidates[i]; !slices.Contains(req.ExcludeIDs, c.ID) {
			visit(c)
		}
	}
}
