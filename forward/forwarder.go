package forward

import (
	"context"
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
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/outlier"
	"github.com/hibiscusspur/hibiscusspur/policy/overload"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// Config holds the dependencies and settings of a Forwarder. All fields but Memory are required.
type Config struct {
	Codec   Codec
	Engines Engines
	View    View
	Pool    *upstream.Pool
	Watcher *httpserver.Watcher
	Guard   Quarantine
	Quota   Quota
	Streams StreamVersions
	// Memory is the part of the VM's memory for answers that are held until they are whole; nil is not accounted for.
	Memory  *vmmemory.Memory
	Log     *log.Logger
	Metrics *metrics.Set
	// VM and Zone identify this process.
	VM, Zone string
	// Retry bounds the retries of all routers together.
	Retry retrybudget.Limits
	// Off is the set of disabled mechanisms.
	Off mechanism.Set
}

// Forwarder is the http.Handler that forwards requests to servers. It is safe for concurrent use.
type Forwarder struct {
	Config
	// drain is nil while the process does not drain.
	drain atomic.Pointer[drain]
	// streams counts the streams in progress.
	streams atomic.Int64
	// moving counts the moves of runs in progress.
	moving atomic.Int64
	// placementChanged is signalled when the placement on decode engines has changed.
	placementChanged chan struct{}
	// attempts are the attempts in progress.
	attempts *attempts
	// interrupted tracks the attempts that were in progress at servers that terminated.
	interrupted *interrupted
	// suspicions tracks engines at which requests have recently failed.
	suspicions *suspicions
	// exclusions tracks engines at which every request fails.
	exclusions *exclusions
	// limits are the request rates that servers declare, invalidFields the fields of their answers that can't be
	// parsed.
	limits        *ServerLimits
	invalidFields *invalidFields
	// cooldowns tracks servers that asked this process to send them nothing for a while.
	cooldowns *cooldowns
	// refusals are the last requests that were rejected for their key or quota.
	refusals refusals

	mu sync.Mutex
	// shortLogged is when it was last logged that a customer is short of memory, customerReporter what was reported of
	// customers' memory; both are guarded by mu.
	shortLogged      map[string]time.Time
	customerReporter customershare.Reporter
	// services is the state of each service, by name; guarded by mu.
	services map[string]*service
}

// service is the local state of one service. Fields are guarded by Forwarder.mu, except engines, which has its own
// lock.
type service struct {
	budget retrybudget.Budget
	// outliers tracks the failure rate of each server.
	outliers    *outlier.Tracker
	outstanding map[string]int
	// limits decides how many calls each server of a plain service gets.
	limits *overload.Limiter
	// retryDetectors recognizes retries after a rejection, by route.
	retryDetectors map[string]*waitqueue.RetryDetector
	// prefillPool chooses prefill engines, engines the decode engines.
	prefillPool *prefillpool.Pool
	engines     *engines
	// promptRate is the arrival rate of prompts, in tokens per second.
	promptRate stages.ArrivalRate
	// memoryRate is the rate at which requests ask for memory, in tokens per second; weightedMemoryRate weights each
	// request by the tokens that it generates. holdTime is how long runs hold memory.
	memoryRate, weightedMemoryRate stages.ArrivalRate
	holdTime                       stages.HoldTime
}

// New returns a Forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{
		Config: c, services: map[string]*service{}, placementChanged: make(chan struct{}, 1), attempts: newAttempts(),
		interrupted: newInterrupted(), suspicions: newSuspicions(c.VM), exclusions: newExclusions(c.VM), limits: newServerLimits(c.VM), invalidFields: &invalidFields{byServer: map[string]string{}}, cooldowns: newCooldowns(),
		shortLogged: map[string]time.Time{},
	}
	c.Engines.OnSignals(f.receiveSignals)
	c.Metrics.GaugeFunc(metrics.ServersLimited, f.limits.count.Load)
	c.Metrics.GaugeFunc(metrics.EnginesExcluded, f.exclusions.excluded.Load)
	return f
}

// PlacementChanged is signalled when TakeChangedPlacements, TakeFailures or TakeRecovered has something to return.
func (f *Forwarder) PlacementChanged() <-chan struct{} { return f.placementChanged }

func (f *Forwarder) notifyPlacementChanged() {
	notify.Send(f.placementChanged)
}

// drain is the schedule of a shutdown: no stream is started from noStreamsFrom on, and the process exits at exitAt.
type drain struct{ noStreamsFrom, exitAt time.Time }

// Drain makes all further answers close their connection. Streams are accepted before noStreamsFrom, and calls whose
// deadline is before exitAt, when the process exits.
func (f *Forwarder) Drain(noStreamsFrom, exitAt time.Time) {
	f.drain.Store(&drain{noStreamsFrom: noStreamsFrom, exitAt: exitAt})
}

func (f *Forwarder) draining() bool { return f.drain.Load() != nil }

// ActiveStreams returns the number of streams in progress.
func (f *Forwarder) ActiveStreams() int { return int(f.streams.Load()) }

const (
	// drainRetry is the Retry-After for a retry at another gateway.
	drainRetry = 500 * time.Millisecond
	// restartRetry is the Retry-After if there is no other gateway: streams in progress take about four seconds to
	// finish, and the next process half a second to become ready.
	restartRetry = 3 * time.Second
)

// refuseWhileDraining refuses a request that the draining process does not start any more.
func (f *Forwarder) refuseWhileDraining(j *job) {
	after := drainRetry
	if f.View.Others() == 0 {
		after = restartRetry
	}
	f.refuse(j, outcome.Draining, min(after, j.left(j.arrived)/3))
}

// acceptsWhileDraining reports whether a request may be started although the process drains.
func (f *Forwarder) acceptsWhileDraining(j *job) bool {
	d := f.drain.Load()
	switch {
	case d == nil:
		return true
	case j.isStream():
		return j.arrived.Before(d.noStreamsFrom)
	default:
		return d.exitAt.After(j.deadline)
	}
}

// service returns the state of a service, created on first use.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		list := func() []registry.Server { return f.View.Servers(name) }
		s = &service{
			outliers: outlier.New(), outstanding: map[string]int{}, limits: overload.New(), retryDetectors: map[string]*waitqueue.RetryDetector{},
			prefillPool: prefillpool.New(prefillConfig(f.Off), f.VM),
			engines:     newEngines(f.VM, f.Zone, f.Off, f.Metrics, list, f.copyVerdict, f.notifyPlacementChanged),
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
	if !f.acceptsWhileDraining(j) {
		f.refuseWhileDraining(j)
		return
	}
	if left, held := f.quarantined(j); held {
		f.refuse(j, outcome.Quarantined, left)
		return
	}
	if wait, ok := f.charge(j); !ok {
		f.refuse(j, outcome.RateLimited, wait)
		return
	}
	ctx, end := f.Watcher.Watch(j.caller, j.deadline)
	defer end()
	defer f.returnRooms(j)
	f.countRequest(j)
	if j.isStream() {
		f.streams.Add(1)
		defer f.streams.Add(-1)
		f.serveStream(ctx, j)
		return
	}
	f.serveCall(ctx, j)
}

// isStream reports whether the request needs a prefill and a decode engine.
func (j *job) isStream() bool { return j.table.Services[j.service].Engine != nil }

// admit parses a request and finds its route. When it returns false the request has been answered.
func (f *Forwarder) admit(j *job) bool {
	var err error
	j.meta, err = f.Codec.ParseRequest(j.r.Header)
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
	if j.body, err = httpserver.ReadBody(j.r); err != nil {
		f.reject(j, http.StatusBadRequest, outcome.BadRequest)
		return false
	}
	if limit := j.table.Limits.BodyBytes; limit > 0 && len(j.body) > limit {
		f.reject(j, http.StatusRequestEntityTooLarge, outcome.BodyTooLarge)
		return false
	}
	j.service = j.route.Service(rand.Float64())
	j.deadline = j.arrived.Add(j.route.Timeout)
	if j.meta.ClientTimeout > 0 && j.meta.ClientTimeout < j.route.Timeout {
		j.deadline = j.arrived.Add(j.meta.ClientTimeout)
	}
	return true
}

// unconfiguredRetry is the Retry-After of a process without a configuration; one that has just started reads it within
// some tens of milliseconds.
const unconfiguredRetry = 300 * time.Millisecond

// hostOf returns the host of a request, without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func (f *Forwarder) countRequest(j *job) {
	f.detectRetry(j)
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.budget.AddRequest(f.Retry, j.arrived)
	if j.isStream() && j.fitsAnEngine() {
		s.promptRate.Add(float64(j.meta.PromptTokens), j.arrived)
		s.memoryRate.Add(float64(j.memoryNeed()), j.arrived)
		s.weightedMemoryRate.Add(float64(j.memoryNeed()*j.expectedOutput()), j.arrived)
	}
}

// detectRetry sets j.retried, once. The requests of customers with a quota are observed before they are charged, all
// others once they are not rejected any more.
func (f *Forwarder) detectRetry(j *job) {
	if j.retryDetected {
		return
	}
	j.retryDetected = true
	s := f.service(j.service)
	f.mu.Lock()
	j.retried = s.isRetry(j)
	f.mu.Unlock()
	if j.retried {
		f.Metrics.Counter(metrics.ClientRetries).Inc(1)
	}
}

// isRetry reports whether a request is a client's retry after a rejection.
func (s *service) isRetry(j *job) bool {
	r, ok := s.retryDetectors[j.route.Name]
	if !ok {
		r = &waitqueue.RetryDetector{}
		s.retryDetectors[j.route.Name] = r
	}
	return r.Observe(j.meta.ClientTimeout)
}

// takeRetry takes one retry from the budget of the job's service.
func (f *Forwarder) takeRetry(j *job) bool {
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

// Forget drops the state of servers that known does not report, and of routes that are no longer in the table: route
// names change with the configuration.
func (f *Forwarder) Forget(known func(id string) bool) {
	for _, id := range f.interrupted.unlisted(known) {
		f.serverTerminated(id, signUnlisted)
	}
	f.limits.forget(known)
	f.invalidFields.forget(known)
	f.cooldowns.forget(known)
	f.forgetExclusions(known)
	table := f.View.Table()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.outliers.Forget(known)
		s.prefillPool.Forget(known)
		s.limits.Forget(known)
		if table == nil {
			continue
		}
		s.engines.forget(table.Has)
		maps.DeleteFunc(s.retryDetectors, func(name string, _ *waitqueue.RetryDetector) bool { return !table.Has(name) })
	}
}

// ServiceLoads returns the load of each model service; see ServiceLoad.
func (f *Forwarder) ServiceLoads() map[string]stages.Load {
	f.mu.Lock()
	names := slices.Collect(maps.Keys(f.services))
	f.mu.Unlock()
	out := map[string]stages.Load{}
	for _, name := range names {
		if load := f.ServiceLoad(name); load.PromptRate > 0 {
			out[name] = load
		}
	}
	return out
}

// ServiceLoad returns the load that this process puts on one service's engines: the prefill rate of one engine, the
// arrival rate of prompts, and the memory that they would hold if none had to wait.
func (f *Forwarder) ServiceLoad(name string) stages.Load {
	s := f.service(name)
	now := time.Now()
	short := s.engines.memoryShort(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	return stages.Load{
		MemoryShort: short,
		PromptRate:  s.promptRate.At(now), EnginePrefillRate: s.prefillPool.TokensPerSecond(), MemoryDemand: s.holdTime.Demand(s.memoryRate.At(now), s.weightedMemoryRate.At(now)),
	}
}

// reasonOf returns why a request's context ended.
func reasonOf(ctx context.Context) outcome.Reason {
	if context.Cause(ctx) == httpserver.ErrCallerGone {
		return outcome.CallerGone
	}
	return outcome.DeadlineExceeded
}
