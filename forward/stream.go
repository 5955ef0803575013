package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// stream answers a request of a model service: memory for the whole run is reserved at
// a decode engine first, then the prompt is read elsewhere, then tokens are generated.
// So no prompt is read for which there is no room.
func (f *Forwarder) stream(ctx context.Context, j *job) {
	run := &run{f: f, j: j, last: j.meta.LastEventID}
	reason := outcome.NoBackend
	for {
		var done bool
		done, reason = run.attempt(ctx)
		if done {
			return
		}
		if !run.mayGoOn(ctx) {
			break
		}
		f.Metrics.Retried(reason)
	}
	if j.started {
		httpserver.Abort(j.w)
		f.ended(j, http.StatusOK, outcome.Failed, reason)
		return
	}
	if run.failure != nil {
		f.pass(j, run.failure)
		return
	}
	f.fail(j, reason)
}

// run is one stream over all its attempts. It belongs to the request's goroutine.
type run struct {
	f *Forwarder
	j *job
	// last is the last event that the client has.
	last string
	// tried are the decode engines that were asked.
	tried []string
	// failure is a failed answer of an engine, passed on when nothing better comes.
	failure *answer
}

// mayGoOn reports whether the stream may be tried at another engine.
func (r *run) mayGoOn(ctx context.Context) bool {
	j := r.j
	if ctx.Err() != nil || j.caller.Gone() {
		return false
	}
	if j.ran && !j.route.Repeatable() {
		return false
	}
	if len(r.tried) == 0 || j.sends >= j.route.Attempts {
		return false
	}
	return r.f.mayRepeat(j)
}

// need is the memory that the run is thought to take at its end, in tokens.
func (j *job) need() int {
	m := j.meta
	if m.LengthHint <= 0 {
		return m.PromptTokens + m.MaxTokens
	}
	return m.PromptTokens + min(m.LengthHint, m.MaxTokens)
}

// attempt runs the stream at one decode engine. It returns true once the request is
// answered, or why it is not.
func (r *run) attempt(ctx context.Context) (bool, outcome.Reason) {
	l, reason := r.f.reserve(ctx, r.j, r.j.need(), r.tried)
	if l == nil {
		return false, reason
	}
	defer r.f.giveBack(r.j, l)
	r.tried = append(r.tried, l.server.ID)
	export, owed := r.f.prefill(ctx, r.j, l.server.Zone)
	if ctx.Err() != nil {
		r.f.freeExport(r.j, export)
		return false, reasonOf(ctx)
	}
	if owed && !r.f.mayRepeat(r.j) {
		return false, outcome.RetryBudgetSpent
	}
	return r.decode(ctx, l, export)
}

// decode has tokens generated at the engine of the lease.
func (r *run) decode(ctx context.Context, l *lease, export *source) (bool, outcome.Reason) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := Send{Reservation: l.reservation, LastEventID: r.last}
	if export != nil {
		o.KVFrom = r.f.Codec.ExportSource(export.server, export.Handle)
	}
	l.reservation = ""
	head, res, err := r.open(ctx, l.server, o)
	if errors.Is(err, errNotRun) && export != nil && !head.Replaced {
		// With its memory reserved, an engine refuses only because it could not fetch
		// the KV cache; it can read the prompt itself.
		r.f.shun(r.j, export.server)
		r.f.attemptFailed(r.j, export.server, outcome.KVLost, err)
		if r.f.mayRepeat(r.j) {
			o.KVFrom = ""
			o.Reservation = r.reserveAgain(ctx, l)
			head, res, err = r.open(ctx, l.server, o)
		}
	}
	if err != nil {
		reason := r.f.explain(ctx, err)
		l.refused = ctx.Err() == nil
		r.f.attemptFailed(r.j, l.server, reason, err)
		return false, reason
	}
	defer func() { _ = res.Body.Close() }()
	r.f.service(r.j.service).engines.worked(l.server.ID)
	if head.Status != http.StatusOK {
		return r.failed(l.server, head, res)
	}
	return r.relay(ctx, l.server, head, res)
}

// reserveAgain reserves at the same engine after a reservation was used up by a request
// that was refused. Without one the request waits in the engine's own queue.
func (r *run) reserveAgain(ctx context.Context, l *lease) string {
	life := r.j.table.Services[r.j.service].Engine.MaxHold
	reservation, err := r.f.Engines.Reserve(ctx, l.server, l.need, life)
	if err != nil {
		r.f.attemptFailed(r.j, l.server, outcome.NoPlace, err)
	}
	return reservation
}

// open sends the request to a decode engine and reads the head of the answer.
func (r *run) open(ctx context.Context, s registry.Server, o Send) (AnswerHead, *upstream.Response, error) {
	res, err := r.f.send(ctx, r.j, s, o)
	if err != nil {
		return AnswerHead{}, nil, err
	}
	head := r.f.Codec.Answer(res.Status, res.Header)
	if head.NotRun {
		discard(res)
		return head, nil, fmt.Errorf("%w: status %d", errNotRun, head.Status)
	}
	if head.Status == http.StatusOK && (!head.Stamped || head.Encoded) {
		_ = res.Body.Close()
		return head, nil, errNoStamp
	}
	return head, res, nil
}

// discard reads a short body to its end so that the connection can be used again.
func discard(res *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
	_ = res.Body.Close()
}

// failed keeps a failure of an engine, to be passed on unless another engine does better.
func (r *run) failed(s registry.Server, head AnswerHead, res *upstream.Response) (bool, outcome.Reason) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err == nil && !r.j.started {
		r.failure = &answer{head: head, body: body}
	}
	r.f.attemptFailed(r.j, s, outcome.EngineError, fmt.Errorf("status %d", head.Status))
	return false, outcome.EngineError
}

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
	best, ok := cheapest(servers, func(c registry.Server) (float64, bool) {
		may := c.Stage == registry.Prefill && !slices.Contains(tried, c.ID) && !now.Before(s.shunned[c.ID])
		return f.readCost(s, c, zone, now), may
	})
	if !ok || crowded(s.readers.Latency(best.ID, now), j.route.Objective, rand.Float64()) {
		return registry.Server{}, false
	}
	return best, true
}

func (f *Forwarder) readCost(s *service, c registry.Server, zone string, now time.Time) float64 {
	perToken := readPerToken
	if rate := s.rate.PerSecond(); rate > 0 {
		perToken = 1 / rate
	}
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
