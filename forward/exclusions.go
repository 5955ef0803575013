package forward

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/exclusion"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// exclusions are the engines at which every request fails. It adds locking to policy/exclusion and is safe for
// concurrent use.
type exclusions struct {
	// count is the number of engines in tracker, excluded that of those excluded; while it is zero, lookups need no lock.
	count, excluded atomic.Int64

	mu      sync.Mutex
	tracker *exclusion.Tracker
	// recovered and trials are engines of which the other gateways are to be told: a request succeeded there, or a trial
	// request is being sent.
	recovered, trials []string
}

func newExclusions(router string) *exclusions { return &exclusions{tracker: exclusion.New(router)} }

// do calls f with mu held.
func (x *exclusions) do(f func(t *exclusion.Tracker)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.tracker)
	x.count.Store(int64(x.tracker.Len()))
	x.excluded.Store(int64(x.tracker.ExcludedLen()))
}

// condition returns why an engine may not be sent a request that may or may not be repeated. Without one, trial is set if
// the request would be a trial request.
func (x *exclusions) condition(id string, repeatable bool, now time.Time) (c eligibility.Condition, holds, trial bool) {
	if x.excluded.Load() == 0 {
		return eligibility.Condition{}, false, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	c, holds = x.tracker.Condition(id, repeatable, now)
	return c, holds, !holds && x.tracker.Excluded(id, now)
}

// trialDue returns the condition of an excluded engine that may be sent a trial request, and whether the engine is one.
// The exclusion holds, for all requests but one, until that has succeeded.
func (x *exclusions) trialDue(id string, repeatable bool, now time.Time) (eligibility.Condition, bool) {
	c, _, trial := x.condition(id, repeatable, now)
	c.Until = time.Time{}
	return c, trial
}

func (x *exclusions) take() (recovered, trials []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	recovered, trials = x.recovered, x.trials
	x.recovered, x.trials = nil, nil
	return recovered, trials
}

// here is the origin of what this process has observed itself.
const here = "here"

// exclusionScope returns what an engine is part of; false if it is not among those that get requests.
func (f *Forwarder) exclusionScope(service, id string) (registry.Server, exclusion.Scope, bool) {
	servers := f.View.Servers(service)
	s, ok := findServer(servers, id)
	if !ok {
		return s, exclusion.Scope{}, false
	}
	scope := exclusion.Scope{Group: service + "/" + s.Stage.String(), Routers: f.View.Routers()}
	for i := range servers {
		if servers[i].Stage == s.Stage {
			scope.Engines++
		}
	}
	return s, scope, true
}

// exclusionFailed records a failed request of this process and reports whether to tell the other gateways.
func (f *Forwarder) exclusionFailed(s registry.Server) (announce bool) {
	s, scope, ok := f.exclusionScope(s.Service, s.ID)
	if !ok || f.Off.Has(mechanism.Exclusion) {
		return false
	}
	var c exclusion.Change
	f.exclusions.do(func(t *exclusion.Tracker) { c, announce = t.Failed(s.ID, scope, time.Now()) })
	f.logExcluded(s, c, scope)
	return announce
}

// exclusionReported records a failed request of another gateway at an engine of a service that this process uses.
func (f *Forwarder) exclusionReported(gateway, id string) {
	if f.Off.Has(mechanism.Exclusion) {
		return
	}
	f.mu.Lock()
	names := slices.Collect(maps.Keys(f.services))
	f.mu.Unlock()
	for _, name := range names {
		s, scope, ok := f.exclusionScope(name, id)
		if !ok {
			continue
		}
		var c exclusion.Change
		f.exclusions.do(func(t *exclusion.Tracker) { c = t.Reported(gateway, id, scope, time.Now()) })
		f.logExcluded(s, c, scope)
		return
	}
}

// exclusionSucceeded records that a request of this process, sent at the given time, succeeded at an engine.
func (f *Forwarder) exclusionSucceeded(id string, sent time.Time) {
	if f.Off.Has(mechanism.Exclusion) {
		return
	}
	var c exclusion.Change
	var announce bool
	f.exclusions.do(func(t *exclusion.Tracker) {
		c, announce = t.Succeeded(id, sent, time.Now())
		if announce {
			f.exclusions.recovered = append(f.exclusions.recovered, id)
		}
	})
	if announce {
		f.notifyPlacementChanged()
	}
	f.readmitted(id, c, here)
}

// beginTrial records that a request is about to be sent to an engine, which is a trial if the engine is excluded.
func (f *Forwarder) beginTrial(j *job, id string) {
	if f.exclusions.excluded.Load() == 0 {
		return
	}
	trial := false
	f.exclusions.do(func(t *exclusion.Tracker) {
		if trial = t.TrialBegan(id, time.Now()); trial {
			f.exclusions.trials = append(f.exclusions.trials, id)
		}
	})
	if !trial {
		return
	}
	j.trials = append(j.trials, id)
	f.Metrics.Counter(metrics.EngineTrials).Inc(1)
	f.notifyPlacementChanged()
}

// TakeRecovered returns the engines with recent failures at which requests succeeded here, and those to which trial
// requests are being sent, since the last call. PlacementChanged is signalled when there are any.
func (f *Forwarder) TakeRecovered() (recovered, trials []string) { return f.exclusions.take() }

// ReceiveRecovered takes another gateway's report that a request has succeeded at an engine.
func (f *Forwarder) ReceiveRecovered(gateway, id string) {
	if f.exclusions.count.Load() == 0 {
		return
	}
	var c exclusion.Change
	f.exclusions.do(func(t *exclusion.Tracker) { c = t.SuccessReported(id, time.Now()) })
	f.readmitted(id, c, gateway)
}

// ReceiveTrial takes another gateway's report that it sends an engine a trial request.
func (f *Forwarder) ReceiveTrial(id string) {
	if f.exclusions.excluded.Load() > 0 {
		f.exclusions.do(func(t *exclusion.Tracker) { t.TrialReported(id, time.Now()) })
	}
}

func (f *Forwarder) logExcluded(s registry.Server, c exclusion.Change, scope exclusion.Scope) {
	if !c.Excluded {
		return
	}
	f.Metrics.Counter(metrics.EngineExclusions).Inc(1)
	event.EngineExcluded.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Str("stage", s.Stage.String()).
		Strs("reporters", c.Reporters).Int("engines", scope.Engines).Msg("")
}

// readmitted forgets the failures at an engine whose exclusion has ended.
func (f *Forwarder) readmitted(id string, c exclusion.Change, from string) {
	if !c.Readmitted {
		return
	}
	f.suspicions.clear(id)
	event.EngineReadmitted.Log(f.Log).Str("server", id).Str("how", "success").Str("from", from).
		Strs("reporters", c.Reporters).Dur("after", time.Since(c.Since)).Msg("")
}

// forgetExclusions drops what is known of servers that known does not report, and exclusions that have expired.
func (f *Forwarder) forgetExclusions(known func(id string) bool) {
	var dropped map[string]time.Time
	f.exclusions.do(func(t *exclusion.Tracker) { dropped = t.Forget(known, time.Now()) })
	for id, since := range dropped {
		how := "expired"
		if !known(id) {
			how = "unlisted"
		}
		event.EngineReadmitted.Log(f.Log).Str("server", id).Str("how", how).Dur("after", time.Since(since)).Msg("")
	}
}
