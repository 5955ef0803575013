package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// lease is room for one request at a decode engine. It belongs to the request's goroutine.
type lease struct {
	server registry.Server
	run    *kvmemory.Run
	// reservation is the engine's name for it; empty once it was used.
	reservation string
	// since is when it was granted.
	since time.Time
	// refused is set when the engine took no run though it had granted memory.
	refused bool
}

// Place implements lifecycle.Request: it waits in the line until a decode engine is thought to
// have room.
func (r *stream) Place(ctx context.Context) (*streamAttempt, outcome.Outcome, bool) {
	f, j := r.f, r.j
	start := time.Now()
	defer func() { j.waited += time.Since(start) }()
	spec := j.table.Services[j.service].Engine
	e := f.service(j.service).engines
	if r.waiter == nil {
		r.waiter = j.newWaiter(e.terms)
		r.run, j.expected = e.newRun(j.route.Name, &j.meta, r.waiter.Need)
		if r.waiter.Need > spec.KVTokens {
			return nil, r.noServer(outcome.PromptTooLong), false
		}
		if e.hopeless(r.waiter, f.holdTime(j), start) {
			return nil, r.noServer(outcome.NoPlace), false
		}
	}
	r.waiter.Exclude = r.tried
	if why, closed := r.allClosed(); closed {
		return nil, r.noServer(why), false
	}
	for {
		id, ok := e.await(ctx, r.waiter, turn{run: r.run, held: r.held, reserve: r.reserveAt}, spec.KVTokens, spec.Slots)
		if !ok && ctx.Err() != nil {
			return nil, j.unanswered(reasonOf(ctx)), false
		}
		if !ok && r.held() {
			return nil, j.unanswered(outcome.Quarantined), false
		}
		if !ok {
			return nil, r.noServer(outcome.NoPlace), false
		}
		if s, ok := find(f.View.Servers(j.service), id); ok {
			j.room = r.run.Room
			return &streamAttempt{r: r, lease: &lease{server: s, run: r.run}}, outcome.Outcome{}, true
		}
		e.failed(id, r.run)
	}
}

// reserveAt takes the run from what an engine says that it takes.
func (r *stream) reserveAt(id string) bool { return r.f.reserveSend(r.j, id) }

// allClosed reports whether engines generate, and none of them takes the request, by what they say, as long as it can wait.
func (r *stream) allClosed() (why outcome.Reason, closed bool) {
	left := time.Until(r.waiter.GiveUpAt)
	for _, s := range r.f.View.Servers(r.j.service) {
		if s.Stage != registry.Decode || slices.Contains(r.tried, s.ID) {
			continue
		}
		wait, reason := r.f.closedFor(s.ID)
		if wait <= max(left, 0) {
			return "", false
		}
		why, closed = reason, true
	}
	return why, closed
}

// held reports whether the request is sent to no server any more.
func (r *stream) held() bool {
	_, held := r.f.held(r.j)
	return held
}

// newWaiter is the request's turn in the line.
func (j *job) newWaiter(terms waitqueue.Policy) *waitqueue.Waiter {
	return &waitqueue.Waiter{
		Need: j.need(), Arrived: j.arrived, Late: j.late, Priority: j.priority(),
		GiveUpAt: terms.GiveUpAt(j.arrived, j.route.Objective, j.left(j.arrived), j.meta.PromptTokens, j.late),
	}
}

// Reserve implements lifecycle.Attempt: the engine itself grants the memory, since other
// gateways place requests on it too.
func (a *streamAttempt) Reserve(ctx context.Context) (outcome.Outcome, bool) {
	f, j, l := a.r.f, a.r.j, a.lease
	start := time.Now()
	defer func() { j.waited += time.Since(start) }()
	life := j.table.Services[j.service].Engine.MaxHold
	reservation, err := f.Engines.Reserve(ctx, l.server, j.reserves(), life)
	if err != nil {
		a.lease = nil
		return f.notGranted(ctx, j, l, err), false
	}
	l.reservation, l.since = reservation, time.Now()
	if f.View.Leaving(l.server.ID) {
		a.lease = nil
		f.giveBack(j, l)
		return j.unanswered(outcome.Leaving), false
	}
	if a.r.yields(l, l.since) {
		a.lease = nil
		f.Metrics.Counter(metrics.ReservationsYielded).Inc(1)
		f.giveBack(j, l)
		return j.unanswered(outcome.NoPlace), false
	}
	a.r.tried = append(a.r.tried, l.server.ID)
	return outcome.Outcome{}, true
}

const (
	// mostYields bounds how often a request leaves an engine that granted its memory.
	mostYields = 2
	// yieldLeast is the time that a request must have left to wait for another engine: a few turns of other
	// gateways.
	yieldLeast = 50 * time.Millisecond
)

// yields reports whether a request leaves the engine that has just granted its memory, since others were placed
// there in the meantime. Nothing of it was sent yet.
func (r *stream) yields(l *lease, now time.Time) bool {
	if r.yielded >= mostYields || r.waiter.GiveUpAt.Sub(now) < yieldLeast || !r.f.service(r.j.service).engines.crowded(l.server.ID) {
		return false
	}
	r.yielded++
	return true
}

// reserves is the memory that is reserved at the engine, in tokens: what the run holds until
// its first event is there. An engine sets reserved memory apart as long as the run lasts, used
// or not: with the memory of the whole run reserved, they preempted 47 of 500 runs in half a
// minute of bursts while they had room, and none with this.
func (j *job) reserves() int {
	return j.meta.PromptTokens + max(j.table.Services[j.service].Engine.EventTokens, 1)
}

// notGranted notes why an engine reserved nothing.
func (f *Forwarder) notGranted(ctx context.Context, j *job, l *lease, err error) outcome.Outcome {
	e := f.service(j.service).engines
	switch {
	case errors.Is(err, ErrFull):
		f.Metrics.Counter(metrics.ReservationsRefused).Inc(1)
		e.refused(l.server.ID, l.run)
		return j.unanswered(outcome.NoPlace)
	case errors.Is(err, ErrStopping):
		// As a refusal it would be forgotten whenever a run ends there, and the engine asked again by every gateway.
		f.Metrics.Counter(metrics.ReservationsRefused).Inc(1)
		f.doubt(l.server)
		e.failed(l.server.ID, l.run)
		return j.unanswered(outcome.NoPlace)
	case ctx.Err() != nil:
		e.release(l.server.ID, l.run)
		return j.unanswered(reasonOf(ctx))
	default:
		f.noteReach(l.server, err)
		f.attemptFailed(j, l.server, outcome.EngineLost, err)
		e.failed(l.server.ID, l.run)
		return j.unanswered(outcome.EngineLost)
	}
}

// holdTime is the mean time that a run holds memory; zero while it is not known.
func (f *Forwarder) holdTime(j *job) time.Duration {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.hold.Mean()
}

func find(servers []registry.Server, id string) (registry.Server, bool) {
	for _, s := range servers {
		if s.ID == id {
			return s, true
		}
	}
	return registry.Server{}, false
}

// giveBack ends a lease. A reservation that was not used is returned to the engine
// without waiting for it; it lapses by itself when that fails.
func (f *Forwarder) giveBack(j *job, l *lease) {
	e := f.service(j.service).engines
	if l.refused {
		e.failed(l.server.ID, l.run)
	} else {
		e.release(l.server.ID, l.run)
	}
	if l.reservation == "" {
		return
	}
	s, reservation := l.server, l.reservation
	l.reservation = ""
	if f.rests.left(s.ID) > 0 {
		return
	}
	go func() {
		if err := f.Engines.Unreserve(context.Background(), s, reservation); err != nil {
			f.attemptFailed(j, s, outcome.ReservationLapsed, err)
		}
	}()
}

// Placed is what this process placed on engines: runs that generate, prompts that are read.
func (f *Forwarder) Placed() []kvmemory.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range f.services {
		out = append(out, s.engines.own()...)
	}
	return out
}

// TakeChanged returns what this process placed on the engines whose placement changed
// since the last call.
func (f *Forwarder) TakeChanged() []kvmemory.Share {
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range all {
		out = append(out, s.engines.takeChanged()...)
	}
	return out
}

// Held is the memory that all processes placed on the engines of a service, in tokens.
func (f *Forwarder) Held(service string) int {
	e := f.service(service).engines
	e.mu.Lock()
	defer e.mu.Unlock()
	_, used := e.memory.Capacity()
	return used
}

// SetOthers takes what other processes placed on some engines. Waiting
// requests are looked at again, since memory may have become free.
func (f *Forwarder) SetOthers(loads map[string]kvmemory.Load) {
	routers := f.View.Others() + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.engines.setOthers(loads, routers)
		if f.Off.Has(mechanism.PrefillQueues) {
			continue
		}
		for id, l := range loads {
			s.readers.SetPeerLoad(id, l.Tokens)
		}
	}
}

// observeHold notes how long a whole run held the memory of its lease.
func (f *Forwarder) observeHold(j *job, l *lease) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.hold.Observe(j.read, time.Since(l.since)-j.read, j.generates())
}

// comeBack is when a client that is turned away should come back. For one that is held back it is the truth, though no
// client waits that long: to come before is in vain.
func (f *Forwarder) comeBack(j *job, reason outcome.Reason) time.Duration {
	if reason == outcome.Quarantined {
		left, _ := f.held(j)
		return left
	}
	if j.table == nil || j.route == nil {
		return unconfiguredRetry
	}
	terms, left := f.service(j.service).engines.terms, j.left(time.Now())
	if rest := f.allRest(j.service); rest > 0 {
		return terms.RetryAfterWait(rest, left, rand.Float64())
	}
	return terms.RetryAfter(left, rand.Float64())
}

// allRest is how long no server of a service that answers requests wants any from this process.
func (f *Forwarder) allRest(service string) time.Duration {
	var least time.Duration
	for _, s := range f.View.Servers(service) {
		if s.Stage == registry.Prefill {
			continue
		}
		rest := f.rests.left(s.ID)
		if rest == 0 {
			return 0
		}
		if least == 0 || rest < least {
			least = rest
		}
	}
	return least
}
