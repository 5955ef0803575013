package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// source is an exported KV cache and the engine that holds it.
type source struct {
	Export
	server registry.Server
}

// prefillTries bounds how often a prompt is sent to prefill engines before the decode
// engine reads it itself.
const prefillTries = 2

// prefill has the prompt read and returns where the KV cache is, or nil when the decode
// engine has to read it itself. A reading that did not succeed makes whatever is sent next a
// repeat; owed is set when that was not taken from the budget yet.
func (f *Forwarder) prefill(ctx context.Context, j *job, zone string) (export *source, owed bool) {
	var tried []string
	for len(tried) < prefillTries {
		s, ok := f.choosePrefill(j, zone, tried)
		if !ok {
			return nil, len(tried) > 0
		}
		if len(tried) > 0 && !f.mayRepeat(j) {
			return nil, true
		}
		tried = append(tried, s.ID)
		export, err := f.read(ctx, j, s)
		if err == nil {
			return &source{Export: export, server: s}, false
		}
		f.attemptFailed(j, s, f.explain(ctx, err), err)
		if ctx.Err() != nil {
			return nil, true
		}
	}
	return nil, true
}

// Bounds of the time that a prefill engine may take before another way is taken.
const (
	// readTimes is how many times the usual time a reading may take: answers of prompts
	// that wait behind two others still come.
	readTimes = 3
	// minReadLimit and maxReadLimit bound the result. The first holds while nothing is
	// known, too: an idle engine needs some 200 ms.
	minReadLimit = 600 * time.Millisecond
	maxReadLimit = 1500 * time.Millisecond
)

// readLimit is how long a prefill engine may take, from what readings took lately.
func (f *Forwarder) readLimit(j *job, c registry.Server) time.Duration {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := s.readers.Latency(c.ID, time.Now())
	return min(max(readTimes*usual, minReadLimit), maxReadLimit)
}

// read sends the prompt to one prefill engine.
func (f *Forwarder) read(ctx context.Context, j *job, s registry.Server) (Export, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.readLimit(j, s))
	defer cancel()
	f.reading(j, s, j.meta.PromptTokens)
	defer f.reading(j, s, -j.meta.PromptTokens)
	export, err := f.askExport(ctx, j, s)
	j.read += time.Since(start)
	f.observeRead(j, s, err == nil, time.Since(start))
	return export, err
}

func (f *Forwarder) observeRead(j *job, c registry.Server, ok bool, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.readers.Observe(c.ID, ok, took, time.Now())
	if ok {
		s.rate.Observe(j.meta.PromptTokens, took)
	}
}

func (f *Forwarder) askExport(ctx context.Context, j *job, s registry.Server) (Export, error) {
	res, err := f.send(ctx, j, s, Send{PrefillOnly: true})
	if err != nil {
		return Export{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return Export{}, err
	}
	if res.Status != http.StatusOK {
		return Export{}, fmt.Errorf("%w: status %d", errNotRun, res.Status)
	}
	return f.Codec.DecodeExport(body)
}

// freeExport frees a KV cache that will not be fetched, without waiting for it.
func (f *Forwarder) freeExport(j *job, e *source) {
	if e == nil {
		return
	}
	go func() {
		if err := f.Engines.FreeExport(context.Background(), e.server, e.Handle); err != nil {
			f.attemptFailed(j, e.server, outcome.KVLost, err)
		}
	}()
}

func (f *Forwarder) reading(j *job, c registry.Server, tokens int) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.reading[c.ID] += tokens; s.reading[c.ID] <= 0 {
		delete(s.reading, c.ID)
	}
}

// shunTime is how long an engine whose exports can't be fetched reads no prompts.
const shunTime = 2 * time.Second

func (f *Forwarder) shun(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.shunned[c.ID] = time.Now().Add(shunTime)
}

// The cost of a prefill engine is the time until it will have read the prompt, in seconds,
// with these additions.
const (
	// zoneReadCost is about what a hand-off between zones takes longer, with its price.
	zoneReadCost = 0.027
	// failingReadCost is for an engine that fails every request.
	failingReadCost = 2
	// readPerToken stands for the time to read a token while none was learned.
	readPerToken = 20e-6
)

// Shares of the objective for the first event that reading at the best prefill engine
// takes, between which more and more prompts are read by the decode engine itself: it
// needs about twice the time and slows the runs beside it.
const (
	crowdedFrom = 0.45
	crowdedTo   = 0.9
	// crowdedMost is the share of prompts that then go the other way; the rest shows
	// when there is room again.
	crowdedMost = 0.8
)

// crowded decides whether the prompt is better read by the decode engine, with u in [0, 1).
func crowded(reading, objective time.Duration, u float64) bool {
	if objective <= 0 {
		return false
	}
	share := (float64(reading)/float64(objective) - crowdedFrom) / (crowdedTo - crowdedFrom)
	return u < min(share, crowdedMost)
}

// choosePrefill returns the engine that will have read the prompt first, or none when all
// are so crowded that the decode engine is faster.
func (f *Forwarder) choosePrefill(j *job, zone string, tried []string) (registry.Server, bool) {
	now := time.Now()
	servers := f.View.Servers(j.service)
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	perToken := s.perToken()
	best, ok := cheapest(servers, func(c registry.Server) (float64, bool) {
		may := c.Stage == registry.Prefill && !slices.Contains(tried, c.ID) && !now.Before(s.shunned[c.ID])
		return s.readCost(c, zone, perToken, now), may
	})
	if !ok || crowded(s.readers.Latency(best.ID, now), j.route.Objective, rand.Float64()) {
		return registry.Server{}, false
	}
	return best, true
}

// perToken is the time in which an engine reads a token, in seconds.
func (s *service) perToken() float64 {
	if rate := s.rate.PerSecond(); rate > 0 {
		return 1 / rate
	}
	return readPerToken
}

func (s *service) readCost(c registry.Server, zone string, perToken float64, now time.Time) float64 {
	cost := s.readers.Latency(c.ID, now).Seconds() + perToken*float64(s.reading[c.ID])
	if c.Zone != zone {
		cost += zoneReadCost
	}
	cost += failingReadCost * s.readers.Failing(c.ID, now)
	if s.readers.Suspect(c.ID, now) {
		cost += failingReadCost
	}
	return cost
}
