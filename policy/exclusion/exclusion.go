// Package exclusion decides which engines get no requests because everything that is sent there fails.
//
// Load pattern: six of 49 engines answer every prompt and every run with 500 within some milliseconds for five seconds,
// while their health checks pass. They always have free memory and no backlog, so each of 27 routers prefers them, or
// falls back on them when memory is short elsewhere. Each run that fails there costs the prefill of its prompt, and most
// of them can't be repeated. That other routers failed there made such an engine a last resort only.
//
// An engine is excluded when requests of several routers failed there in a row, so many that this is unlikely at the
// failure rate of other engines: some requests fail wherever they are sent. One router at a time then sends it a trial
// request, at growing intervals, and the first success ends the exclusion for all routers.
//
// Each router decides for itself, from its own requests and the reports of the others. The reports of a router that is
// itself partitioned are divided among all engines that it reports, and at most a share of a group of engines is excluded
// at once. An engine that starts again has another ID and no history.
//
// A Tracker is deterministic, takes the time from its caller, and is not safe for concurrent use.
package exclusion

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

const (
	// minReporters is the number of routers of which requests must have failed at an engine.
	minReporters = 2
	// maxShare is the largest share of a group of engines that is excluded at once.
	maxShare = 1.0 / 3
	// failureTTL is how long failures in a row count.
	failureTTL = 10 * time.Second
	// maxFailuresOfReporter bounds the failures of one router that count at one engine, maxReporters the routers.
	maxFailuresOfReporter, maxReporters = 3, 16
	// reportInterval is the time in which several failures of one router at one engine count once: when an engine
	// terminates, all requests in progress there fail together.
	reportInterval = time.Second
	// reporterWindow is the time in which the engines that a router reports are counted.
	reporterWindow = 3 * time.Second
	// exclusionTTL ends an exclusion without further failures or trials.
	exclusionTTL = 15 * time.Second
)

// Scope is what an engine is part of.
type Scope struct {
	// Group identifies the engines that can replace each other: those of one service and stage.
	Group string
	// Engines is their number, Routers that of the routers.
	Engines, Routers int
}

// Change is what an observation changed.
type Change struct {
	// Excluded is set if the engine is now excluded, Readmitted if it no longer is.
	Excluded, Readmitted bool
	// Reporters are the routers whose failures excluded it. Since is when that was.
	Reporters []string
	Since     time.Time
}

// Tracker holds what one router knows of failing engines.
type Tracker struct {
	router    string
	engines   map[string]*engine
	reporters map[string]*reporter
	outcomes  outcomes
	sweptAt   time.Time
}

// engine is an engine at which requests failed since the last success.
type engine struct {
	group string
	// firstFailure and lastFailure are the times of the failures since the last success.
	firstFailure, lastFailure time.Time
	// failures holds them by router; own is the number of this router's.
	failures map[string]failures
	own      int
	// excludedAt is zero while the engine is not excluded; trials are the trials of the exclusion.
	excludedAt time.Time
	trials     trials
}

// failures are those of one router.
type failures struct {
	count int
	// countedAt is when the last one counted.
	countedAt time.Time
}

// reporter holds when a router last reported each engine.
type reporter struct{ reported map[string]time.Time }

// New returns an empty Tracker of the named router.
func New(router string) *Tracker {
	return &Tracker{router: router, engines: map[string]*engine{}, reporters: map[string]*reporter{}}
}

// Failed records that a request of this router failed at an engine. announce is set if the other routers are to be told.
func (t *Tracker) Failed(id string, scope Scope, now time.Time) (c Change, announce bool) {
	t.sweep(now)
	trial := t.TrialPending(id)
	announce = t.record(t.router, id, scope, now)
	t.engines[id].own++
	return t.decide(id, scope, now), announce || trial
}

// Reported records that another router reported a failure at an engine.
func (t *Tracker) Reported(router, id string, scope Scope, now time.Time) Change {
	t.sweep(now)
	t.record(router, id, scope, now)
	return t.decide(id, scope, now)
}

// record records a failure and reports whether it counts.
func (t *Tracker) record(router, id string, scope Scope, now time.Time) bool {
	e, ok := t.engines[id]
	if !ok || e.expired(now) {
		e = &engine{firstFailure: now, failures: map[string]failures{}}
		t.engines[id] = e
	}
	e.group, e.lastFailure = scope.Group, now
	if !e.excludedAt.IsZero() {
		e.trials.failed(now)
	}
	r, ok := t.reporters[router]
	if !ok {
		r = &reporter{reported: map[string]time.Time{}}
		t.reporters[router] = r
	}
	r.reported[id] = now
	n, known := e.failures[router]
	if known && now.Sub(n.countedAt) < reportInterval {
		return false
	}
	if known || len(e.failures) < maxReporters {
		e.failures[router] = failures{min(n.count+1, maxFailuresOfReporter), now}
	}
	return true
}

// decide excludes an engine if the failures there suffice.
func (t *Tracker) decide(id string, scope Scope, now time.Time) Change {
	e := t.engines[id]
	if !e.excludedAt.IsZero() || len(e.failures) < min(minReporters, scope.Routers) {
		return Change{}
	}
	if t.evidence(e, now) < t.outcomes.requiredFailures(now) || t.excludedOf(scope.Group, now) >= limitOf(scope.Engines) {
		return Change{}
	}
	e.excludedAt = now
	e.trials.begin(now)
	return Change{Excluded: true, Reporters: e.reporters(), Since: now}
}

// evidence is the number of failures at an engine, those of each router divided by the number of engines at which its
// requests fail.
func (t *Tracker) evidence(e *engine, now time.Time) float64 {
	sum := 0.0
	for router, n := range e.failures {
		sum += float64(n.count) / float64(max(t.reportedBy(router, now), 1))
	}
	return sum
}

// reportedBy is the number of engines that a router has reported recently, except those that are excluded: that these
// fail is no sign that the router is partitioned.
func (t *Tracker) reportedBy(router string, now time.Time) int {
	r, ok := t.reporters[router]
	if !ok {
		return 0
	}
	n := 0
	for id, at := range r.reported {
		if now.Sub(at) >= reporterWindow {
			continue
		}
		if e, ok := t.engines[id]; ok && e.excludedAt.IsZero() {
			n++
		}
	}
	return n
}

// excludedOf is the number of excluded engines of a group.
func (t *Tracker) excludedOf(group string, now time.Time) int {
	n := 0
	for _, e := range t.engines {
		if e.group == group && !e.excludedAt.IsZero() && !e.expired(now) {
			n++
		}
	}
	return n
}

// limitOf is how many of a number of engines may be excluded at once: one at least, unless it is the only one.
func limitOf(engines int) int {
	if engines < 2 {
		return 0
	}
	return max(int(maxShare*float64(engines)), 1)
}

// Succeeded records that a request of this router, sent at the given time, succeeded at an engine. announce is set if the
// other routers are to be told, since failures there are known. A request that was sent before the first of them does
// not show that the engine works again.
func (t *Tracker) Succeeded(id string, sent, now time.Time) (c Change, announce bool) {
	e, known := t.engines[id]
	t.outcomes.add(1, 0, now)
	if !known || sent.Before(e.firstFailure) {
		return Change{}, false
	}
	if e.excludedAt.IsZero() {
		t.outcomes.add(0, float64(e.own), now)
	}
	return t.readmit(id), true
}

// SuccessReported records that a request of another router succeeded at an engine.
func (t *Tracker) SuccessReported(id string, now time.Time) Change {
	e, known := t.engines[id]
	if !known {
		return Change{}
	}
	if e.excludedAt.IsZero() {
		t.outcomes.add(0, float64(e.own), now)
	}
	return t.readmit(id)
}

func (t *Tracker) readmit(id string) Change {
	e := t.engines[id]
	delete(t.engines, id)
	if e.excludedAt.IsZero() {
		return Change{}
	}
	return Change{Readmitted: true, Reporters: e.reporters(), Since: e.excludedAt}
}

func (e *engine) reporters() []string { return slices.Sorted(maps.Keys(e.failures)) }

func (e *engine) expired(now time.Time) bool {
	if e.excludedAt.IsZero() {
		return now.Sub(e.lastFailure) >= failureTTL
	}
	return now.Sub(e.lastFailure) >= exclusionTTL
}

// Condition returns that an engine is to be sent nothing, and whether that holds for a request that may or may not be
// repeated. It ends when this router may send a trial request.
func (t *Tracker) Condition(id string, repeatable bool, now time.Time) (eligibility.Condition, bool) {
	e, ok := t.engines[id]
	if !ok || e.excludedAt.IsZero() || e.expired(now) {
		return eligibility.Condition{}, false
	}
	until := e.trials.due(affinity.Of(t.router, e.trials.key(id)), repeatable)
	if end := e.lastFailure.Add(exclusionTTL); end.Before(until) {
		until = end
	}
	return eligibility.Condition{
		Reason: eligibility.Unhealthy, Author: eligibility.Peers, Since: e.excludedAt, Until: until,
	}, now.Before(until)
}

// Excluded reports whether an engine is excluded, though this router may send it a trial request.
func (t *Tracker) Excluded(id string, now time.Time) bool {
	e, ok := t.engines[id]
	return ok && !e.excludedAt.IsZero() && !e.expired(now)
}

// TrialBegan records that a request of this router is being sent to an engine. It reports whether that is a trial request
// for an excluded engine, of which the other routers are to be told.
func (t *Tracker) TrialBegan(id string, now time.Time) bool {
	if !t.Excluded(id, now) {
		return false
	}
	t.engines[id].trials.pend(now)
	return true
}

// TrialReported records that another router sends an engine a trial request.
func (t *Tracker) TrialReported(id string, now time.Time) { t.TrialBegan(id, now) }

// TrialPending reports whether the outcome of a trial request to an engine is awaited.
func (t *Tracker) TrialPending(id string) bool {
	e, ok := t.engines[id]
	return ok && e.trials.pending
}

// Len returns the number of engines at which requests failed recently.
func (t *Tracker) Len() int { return len(t.engines) }

// ExcludedLen returns the number of excluded engines.
func (t *Tracker) ExcludedLen() int {
	n := 0
	for _, e := range t.engines {
		if !e.excludedAt.IsZero() {
			n++
		}
	}
	return n
}

// Forget drops the engines for which known returns false, and exclusions that have expired. It returns the excluded
// engines among them, with the times of their exclusion.
func (t *Tracker) Forget(known func(id string) bool, now time.Time) map[string]time.Time {
	dropped := map[string]time.Time{}
	for id, e := range t.engines {
		if known(id) && !e.expired(now) {
			continue
		}
		if !e.excludedAt.IsZero() {
			dropped[id] = e.excludedAt
		}
		delete(t.engines, id)
	}
	return dropped
}

// sweepInterval is the time between two sweeps.
const sweepInterval = time.Second

// sweep drops what has expired, except exclusions, which Forget reports.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.engines, func(_ string, e *engine) bool { return e.excludedAt.IsZero() && e.expired(now) })
	maps.DeleteFunc(t.reporters, func(_ string, r *reporter) bool {
		maps.DeleteFunc(r.reported, func(_ string, at time.Time) bool { return now.Sub(at) >= reporterWindow })
		return len(r.reported) == 0
	})
}
