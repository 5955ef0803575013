package forward

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/lifecycle"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
	"github.com/hibiscusspur/hibiscusspur/policy/overload"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// Config is what a Forwarder needs. All fields are required.
type Config struct {
	Codec   Codec
	Engines Engines
	View    View
	Pool    *upstream.Pool
	Watcher *httpserver.Watcher
	Guard   Quarantine
	Quota   Quota
	Log     *log.Logger
	Metrics *metrics.Set
	// VM and Zone are those of this process.
	VM, Zone string
	// Retry bounds the repeats over all routers.
	Retry retrybudget.Limits
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Forwarder answers requests. It is an http.Handler, safe for concurrent use.
type Forwarder struct {
	Config
	// drain is nil while the process does not drain.
	drain atomic.Pointer[drain]
	// streams is the number of streams in progress.
	streams atomic.Int64
	// placed is sent to when the placement on decode engines has changed.
	placed chan struct{}
	// attempts are those in progress.
	attempts *attempts
	// interrupted is which of them were in progress at servers that ended.
	interrupted *interrupted
	// doubts are engines at which requests fail.
	doubts *doubts
	// limits are what servers say that they take, faults is what can't be understood of what they say.
	limits *ServerLimits
	faults *faults
	// rests are servers that want nothing from this process for a while.
	rests *rests
	// refusals are the last requests that were turned away for keys and quotas.
	refusals refusals

	mu sync.Mutex
	// services is the state for each service, by name; guarded by mu.
	services map[string]*service
}

// service is what a process learned of one service. Fields are guarded by Forwarder.mu
// but for engines, which has its own lock.
type service struct {
	budget retrybudget.Budget
	// outliers is what was observed of whole answers.
	outliers    *outlier.Tracker
	outstanding map[string]int
	// limits is how many calls each server of a plain service gets.
	limits *overload.Limiter
	// returners tells who has come back, by route.
	returners map[string]*waitqueue.RetryDetector
	// readers are the engines that read prompts, engines those that generate.
	readers *prefillpool.Pool
	engines *engines
	// arriving is the rate of prompts, in tokens per second.
	arriving stages.ArrivalRate
	// wanting is the rate of memory that requests ask for, in tokens per second, weighted
	// the same with each multiplied by the tokens that it generates; hold is how long runs
	// hold memory.
	wanting, weighted stages.ArrivalRate
	hold              stages.HoldTime
}

// New returns a Forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{
		Config: c, services: map[string]*service{}, placed: make(chan struct{}, 1), attempts: newAttempts(),
		interrupted: newInterrupted(), doubts: newDoubts(c.VM), limits: newServerLimits(c.VM), faults: &faults{fields: map[string]string{}}, rests: newRests(),
	}
	c.Engines.Hear(f.hear)
	c.Metrics.GaugeFunc(metrics.ServersLimited, f.limits.count.Load)
	return f
}

// PlacementChanged is sent to when TakeChanged has something to return.
func (f *Forwarder) PlacementChanged() <-chan struct{} { return f.placed }

func (f *Forwarder) tellPlaced() {
	select {
	case f.placed <- struct{}{}:
	default:
	}
}

// drain is how a process ends: it begins no stream from streams on, and is gone at end.
type drain struct{ streams, end time.Time }

// Drain makes all further answers close their connection. Streams are begun until streams,
// and calls as long as they will be answered before the process ends.
func (f *Forwarder) Drain(streams, end time.Time) { f.drain.Store(&drain{streams: streams, end: end}) }

func (f *Forwarder) draining() bool { return f.drain.Load() != nil }

// Streams is the number of streams in progress.
func (f *Forwarder) Streams() int { return int(f.streams.Load()) }

const (
	// drainRetry is when to come back to another gateway.
	drainRetry = 500 * time.Millisecond
	// restartRetry is when to come back where there is no other: streams in progress take
	// some four seconds to end, and the next process half a second to be ready.
	restartRetry = 3 * time.Second
)

// drained answers a request that this process will not begin any more.
func (f *Forwarder) drained(j *job) {
	after := drainRetry
	if f.View.Others() == 0 {
		after = restartRetry
	}
	f.refuse(j, outcome.Draining, min(after, j.left(j.arrived)/3))
}

// fitsDrain reports whether a request may be begun though the process drains.
func (f *Forwarder) fitsDrain(j *job) bool {
	d := f.drain.Load()
	switch {
	case d == nil:
		return true
	case j.streams():
		return j.arrived.Before(d.streams)
	default:
		return d.end.After(j.deadline)
	}
}

// service returns the state of a service.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		s = &service{
			outliers: outlier.New(), outstanding: map[string]int{}, limits: overload.New(), returners: map[string]*waitqueue.RetryDetector{},
			readers: prefillpool.New(readingConfig(f.Off), f.VM), engines: newEngines(f.VM, f.Zone, f.Off, func() []registry.Server { return f.View.Servers(name) }, f.doubts.doubtful, f.closed, f.tellPlaced),
		}
		f.services[name] = s
	}
	return s
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	j := &job{w: w, r: r, arrived: now, deadline: now, caller: httpserver.CallerOf(w)}
	if !f.admit(j) {
		return
	}
	if !f.fitsDrain(j) {
		f.drained(j)
		return
	}
	if left, held := f.held(j); held {
		f.refuse(j, outcome.Quarantined, left)
		return
	}
	if wait, ok := f.charge(j); !ok {
		f.refuse(j, outcome.RateLimited, wait)
		return
	}
	ctx, end := f.Watcher.Watch(j.caller, j.deadline)
	defer end()
	f.countRequest(j)
	if j.streams() {
		f.streams.Add(1)
		defer f.streams.Add(-1)
		r := &stream{course: course{f: f, j: j}, lastEvent: j.meta.LastEventID}
		r.finish(lifecycle.Run(ctx, r))
		f.freeExport(j, r.takeKept())
		return
	}
	c := &call{course{f: f, j: j}}
	c.finish(lifecycle.Run(ctx, c))
}

// streams reports whether the request needs a prefill and a decode engine.
func (j *job) streams() bool { return j.table.Services[j.service].Engine != nil }

// admit finds the route of a request and reads it. When it returns false the request
// has been answered.
func (f *Forwarder) admit(j *job) bool {
	var err error
	j.meta, err = f.Codec.Read(j.r.Header)
	j.table = f.View.Table()
	if j.table == nil {
		f.refuse(j, outcome.StaleRevision, unconfiguredRetry)
		return false
	}
	j.route = j.table.Match(hostOf(j.r), j.r.URL.EscapedPath())
	if j.route == nil {
		f.reject(j, http.StatusNotFound, outcome.NotFound)
		return false
	}
	if !f.identify(j) {
		return false
	}
	if err != nil {
		f.reject(j, http.StatusBadRequest, outcome.BadRequest)
		return false
	}
	if j.r.Body != nil {
		if j.body, err = io.ReadAll(j.r.Body); err != nil {
			f.reject(j, http.StatusBadRequest, outcome.BadRequest)
			return false
		}
	}
	if limit := j.table.Limits.BodyBytes; limit > 0 && len(j.body) > limit {
		f.reject(j, http.StatusRequestEntityTooLarge, outcome.BodyTooLarge)
		return false
	}
	j.service = j.route.Service(rand.Float64())
	j.deadline = j.arrived.Add(j.route.Timeout)
	if j.meta.Patience > 0 && j.meta.Patience < j.route.Timeout {
		j.deadline = j.arrived.Add(j.meta.Patience)
	}
	return true
}

// unconfiguredRetry is when to come back to a process that knows no configuration yet;
// one that has just started reads it within some tens of milliseconds.
const unconfiguredRetry = 300 * time.Millisecond

// hostOf is the host that a request names, without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func (f *Forwarder) countRequest(j *job) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.budget.AddRequest(f.Retry, j.arrived)
	j.late = s.returned(j)
	if j.late {
		f.Metrics.Counter(metrics.Returners).Inc(1)
	}
	if j.streams() {
		s.arriving.Add(float64(j.meta.PromptTokens), j.arrived)
		s.wanting.Add(float64(j.need()), j.arrived)
		s.weighted.Add(float64(j.need()*j.generates()), j.arrived)
	}
}

// returned reports whether the client of a job has come back after a refusal.
func (s *service) returned(j *job) bool {
	r, ok := s.returners[j.route.Name]
	if !ok {
		r = &waitqueue.RetryDetector{}
		s.returners[j.route.Name] = r
	}
	return r.Observe(j.meta.Patience)
}

// mayRepeat takes one repeat from the budget of the job's service.
func (f *Forwarder) mayRepeat(j *job) bool {
	s := f.service(j.service)
	routers := f.View.Routers()
	f.mu.Lock()
	ok := s.budget.TryRetry(f.Retry, routers, time.Now())
	f.mu.Unlock()
	if !ok {
		f.Metrics.RetryDenied("budget")
	}
	return ok
}

// Forget drops what was learned of servers that known does not name, and of routes that are
// not in the table any more: their names change with the configuration.
func (f *Forwarder) Forget(known func(id string) bool) {
	for _, id := range f.interrupted.missing(known) {
		f.serverEnded(id, endedGone)
	}
	f.limits.forget(known)
	f.faults.forget(known)
	f.rests.forget(known)
	table := f.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.outliers.Forget(known)
		s.readers.Forget(known)
		s.limits.Forget(known)
		if table == nil {
			continue
		}
		s.engines.forget(table.Has)
		maps.DeleteFunc(s.returners, func(name string, _ *waitqueue.RetryDetector) bool { return !table.Has(name) })
	}
}

// Uses is the use of the engines of each model service; see Use.
func (f *Forwarder) Uses() map[string]stages.Load {
	f.mu.Lock()
	names := slices.Collect(maps.Keys(f.services))
	f.mu.Unlock()
	out := map[string]stages.Load{}
	for _, name := range names {
		if use := f.Use(name); use.PromptRate > 0 {
			out[name] = use
		}
	}
	return out
}

// Use is the use of one service's engines by this process: how fast one engine reads, the
// prompts that arrive, and the memory that they would hold if none had to wait.
func (f *Forwarder) Use(name string) stages.Load {
	s := f.service(name)
	now := time.Now()
	short := s.engines.isShort(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return stages.Load{
		MemoryShort: short,
		PromptRate:  s.arriving.At(now), EnginePrefillRate: s.readers.TokensPerSecond(), MemoryDemand: s.hold.Demand(s.wanting.At(now), s.weighted.At(now)),
	}
}

// reasonOf tells why a request's context ended.
func reasonOf(ctx context.Context) outcome.Reason {
	if context.Cause(ctx) == httpserver.ErrCallerGone {
		return outcome.CallerGone
	}
	return outcome.DeadlineExceeded
}
