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

// lease is memory reserved for one request at a decode engine. It belongs to the request's goroutine.
type lease struct {
	server registry.Server
	run    *kvmemory.Run
	// reservation is the engine's ID of the reservation; empty once it was used.
	reservation string
	// since is when the memory was granted.
	since time.Time
	// refused is set when the engine granted memory but refused the run.
	refused bool
}

// Place implements lifecycle.Request: it waits in the queue until a decode engine is expected to have enough free
// memory.
func (r *stream) Place(ctx context.Context) (*streamAttempt, outcome.Outcome, bool) {
	f, j := r.f, r.j
	start := time.Now()
	defer func() { j.waited += time.Since(start) }()
	spec := j.table.Services[j.service].Engine
	e := f.service(j.service).engines
	if r.waiter == nil {
		r.waiter = j.newWaiter(e.policy)
		r.waiter.Customer = e.customerOf(j)
		r.run, j.expected = e.newRun(j.route.Name, &j.meta, r.waiter.Need)
		if !j.fitsAnEngine() {
			return nil, r.noServerLeft(outcome.PromptTooLong), false
		}
		if e.rejectsEarly(r.waiter, f.holdTime(j), start) {
			f.memoryRejected(j, r.waiter, metrics.MemoryEarly)
			return nil, r.noServerLeft(outcome.NoDecodeSlot), false
		}
	}
	r.waiter.Exclude, r.waiter.Version = r.tried, r.version
	if r.versionGone() {
		return nil, j.unanswered(outcome.VersionGone), false
	}
	if why, unavailable := r.allUnavailable(); unavailable {
		return nil, r.noServerLeft(why), false
	}
	for {
		id, ok := e.await(ctx, r.waiter, queueEntry{
			run: r.run, deadline: j.deadline, quarantined: r.quarantined, reserve: r.reserveAt, verdicts: f.engineVerdicts(j.retryLeft()),
		}, spec.KVTokens, spec.Slots)
		if !ok && ctx.Err() != nil {
			return nil, j.unanswered(reasonOf(ctx)), false
		}
		if !ok && r.quarantined() {
			return nil, j.unanswered(outcome.Quarantined), false
		}
		if !ok {
			f.memoryRejected(j, r.waiter, metrics.MemoryWaited)
			return nil, r.noServerLeft(outcome.NoDecodeSlot), false
		}
		if s, ok := findServer(f.View.Servers(j.service), id); ok {
			j.freeMemory = r.run.FreeAtPeak
			return &streamAttempt{r: r, lease: &lease{server: s, run: r.run}}, outcome.Outcome{}, true
		}
		e.failed(id, r.run)
	}
}

// reserveAt takes one request from the rate limit that the engine has declared, and begins a trial if it is excluded.
func (r *stream) reserveAt(id string) bool {
	if !r.f.reserveSend(r.j, id) {
		return false
	}
	r.f.beginTrial(r.j, id)
	return true
}

// allUnavailable reports whether there are untried decode engines but each has signalled that it takes nothing for
// longer than the request can wait.
func (r *stream) allUnavailable() (why outcome.Reason, unavailable bool) {
	now := time.Now()
	left := r.waiter.GiveUpAt.Sub(now)
	for _, s := range r.f.View.Servers(r.j.service) {
		if !r.mayRunAt(s) {
			continue
		}
		v := r.f.declaredVerdict(s.ID, now)
		if v.Wait(now) <= max(left, 0) {
			return "", false
		}
		why, unavailable = unavailableReason(v.Reason), true
	}
	return why, unavailable
}

// mayRunAt reports whether a server is a decode engine that was not tried, and of the version that the stream is bound to.
func (r *stream) mayRunAt(s registry.Server) bool {
	return s.Stage == registry.Decode && !slices.Contains(r.tried, s.ID) && (r.version == "" || s.Version == r.version)
}

// versionGone reports whether the stream was begun at a version of which no engine is left to try.
func (r *stream) versionGone() bool {
	return r.version != "" && !slices.ContainsFunc(r.f.View.Servers(r.j.service), r.mayRunAt)
}

// quarantined reports whether the request may not be sent to any server.
func (r *stream) quarantined() bool {
	_, held := r.f.quarantined(r.j)
	return held
}

// newWaiter returns the request's entry in the wait queue.
func (j *job) newWaiter(policy waitqueue.Policy) *waitqueue.Waiter {
	return &waitqueue.Waiter{
		Need: j.memoryNeed(), Arrived: j.arrived, Late: j.retried, Priority: j.priority(),
		GiveUpAt: policy.GiveUpAt(j.arrived, j.route.Objective, j.left(j.arrived), j.meta.PromptTokens, j.retried),
	}
}

// Reserve implements lifecycle.Attempt: the engine itself grants the memory, since other gateways place requests on it
// too.
func (a *streamAttempt) Reserve(ctx context.Context) (outcome.Outcome, bool) {
	f, j, l := a.r.f, a.r.j, a.lease
	start := time.Now()
	defer func() { j.waited += time.Since(start) }()
	lifetime := j.table.Services[j.service].Engine.MaxReservationTTL
	reservation, err := f.Engines.Reserve(ctx, l.server, j.reservedTokens(), lifetime)
	if err != nil {
		a.lease = nil
		return f.reservationFailed(ctx, j, l, err), false
	}
	l.reservation, l.since = reservation, time.Now()
	if f.View.Leaving(l.server.ID) {
		a.lease = nil
		f.releaseLease(j, l)
		return j.unanswered(outcome.Leaving), false
	}
	if a.r.yields(l, l.since) {
		a.lease = nil
		f.Metrics.Counter(metrics.ReservationsYielded).Inc(1)
		f.releaseLease(j, l)
		return j.unanswered(outcome.NoDecodeSlot), false
	}
	a.r.tried = append(a.r.tried, l.server.ID)
	return outcome.Outcome{}, true
}

const (
	// maxYields bounds how often a request leaves an engine that has granted its memory.
	maxYields = 2
	// minYieldTime is the remaining wait time that a request needs to try another engine: a few staggered delays of
	// other gateways.
	minYieldTime = 50 * time.Millisecond
)

// yields reports whether a request leaves the engine that has just granted its memory, because other requests were
// placed there in the meantime. Nothing of the request has been sent yet.
func (r *stream) yields(l *lease, now time.Time) bool {
	if r.yieldCount >= maxYields || r.waiter.GiveUpAt.Sub(now) < minYieldTime || !r.f.service(r.j.service).engines.saturated(l.server.ID) {
		return false
	}
	r.yieldCount++
	return true
}

// reservedTokens is the memory to reserve at the engine, in tokens: that of the run until its first event. An
// engine keeps memory reserved for the whole run, used or not: with the memory of the whole run reserved, engines
// preempted 47 of 500 runs in half a minute of bursts although they had free memory, and none with this.
func (j *job) reservedTokens() int {
	return j.meta.PromptTokens + max(j.table.Services[j.service].Engine.EventTokens, 1)
}

// reservationFailed records why an engine granted no reservation, and returns the outcome.
func (f *Forwarder) reservationFailed(ctx context.Context, j *job, l *lease, err error) outcome.Outcome {
	e := f.service(j.service).engines
	switch {
	case errors.Is(err, ErrFull):
		f.Metrics.Counter(metrics.ReservationsRefused).Inc(1)
		e.refused(l.server.ID, l.run)
		return j.unanswered(outcome.NoDecodeSlot)
	case errors.Is(err, ErrStopping):
		// Recorded as a refusal it would be forgotten whenever a run completes at the engine, and every gateway would
		// ask the engine again.
		f.Metrics.Counter(metrics.ReservationsRefused).Inc(1)
		f.suspect(l.server)
		e.failed(l.server.ID, l.run)
		return j.unanswered(outcome.NoDecodeSlot)
	case ctx.Err() != nil:
		e.release(l.server.ID, l.run)
		return j.unanswered(reasonOf(ctx))
	default:
		f.recordConnectError(l.server, err)
		f.attemptFailed(j, l.server, outcome.EngineLost, err)
		e.failed(l.server.ID, l.run)
		return j.unanswered(outcome.EngineLost)
	}
}

// holdTime returns the mean time that a run holds memory; zero while it is not known.
func (f *Forwarder) holdTime(j *job) time.Duration {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.holdTime.Mean()
}

func findServer(servers []registry.Server, id string) (registry.Server, bool) {
	for _, s := range servers {
		if s.ID == id {
			return s, true
		}
	}
	return registry.Server{}, false
}

// releaseLease ends a lease. An unused reservation is returned to the engine in the background; it expires by itself
// if that fails.
func (f *Forwarder) releaseLease(j *job, l *lease) {
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
	if f.cooldowns.remaining(s.ID) > 0 {
		return
	}
	go func() {
		if err := f.Engines.Unreserve(context.Background(), s, reservation); err != nil {
			f.attemptFailed(j, s, outcome.ReservationLapsed, err)
		}
	}()
}

// Placements returns the load that this process placed on engines: decode runs and prompts being prefilled.
func (f *Forwarder) Placements() []kvmemory.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range f.services {
		out = append(out, s.engines.ownLoads()...)
	}
	return out
}

// TakeChangedPlacements returns the load that this process placed on each engine whose placement has changed since the
// last call.
func (f *Forwarder) TakeChangedPlacements() []kvmemory.Share {
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range all {
		out = append(out, s.engines.takeChanged()...)
	}
	return out
}

// MemoryInUse returns the memory that all processes placed on the engines of a service for runs, in tokens.
func (f *Forwarder) MemoryInUse(service string) int {
	e := f.service(service).engines
	e.mu.Lock()
	defer e.mu.Unlock()
	_, used := e.memory.Capacity()
	return int(float64(used) * (1 - e.copyShare()))
}

// SetPeerLoads takes the load of some engines as reported by peers. Queued requests are checked again, since memory
// may have become free.
func (f *Forwarder) SetPeerLoads(loads map[string]kvmemory.Load) {
	routers := f.View.Others() + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.engines.setPeerLoads(loads, routers)
		if f.Off.Has(mechanism.PrefillQueues) {
			continue
		}
		for id, l := range loads {
			s.prefillPool.SetPeerLoad(id, l.Tokens)
			s.prefillPool.SetPeerHeld(id, l.Held)
		}
	}
}

// observeHold records how long a whole run held the memory of its lease.
func (f *Forwarder) observeHold(j *job, l *lease) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.holdTime.Observe(j.prefillTime, time.Since(l.since)-j.prefillTime, j.expectedOutput())
}

// retryAfter is the Retry-After of a rejected request. A quarantined request gets the true time, though no client
// waits that long: an earlier retry would be rejected again.
func (f *Forwarder) retryAfter(j *job, reason outcome.Reason) time.Duration {
	if reason == outcome.Quarantined {
		left, _ := f.quarantined(j)
		return left
	}
	if j.table == nil || j.route == nil {
		return unconfiguredRetry
	}
	policy, left := f.service(j.service).engines.policy, j.left(time.Now())
	if cooldown := f.serviceCooldown(j.service); cooldown > 0 {
		return policy.RetryAfterWait(cooldown, left, rand.Float64())
	}
	if j.shortage != nil {
		return policy.RetryAfterShortage(j.shortage.expected, j.shortage.overShare, left, rand.Float64())
	}
	return policy.RetryAfter(left, rand.Float64())
}

// serviceCooldown is how long all servers of a service that answer requests stay in a cooldown; zero if one is not.
func (f *Forwarder) serviceCooldown(service string) time.Duration {
	var shortest time.Duration
	for _, s := range f.View.Servers(service) {
		if s.Stage == registry.Prefill {
			continue
		}
		cooldown := f.cooldowns.remaining(s.ID)
		if cooldown == 0 {
			return 0
		}
		if shortest == 0 || cooldown < shortest {
			shortest = cooldown
		}
	}
	return shortest
}
