package forward

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// suspicions are the engines at which requests of any gateway failed recently. It adds clocks and locking to
// policy/suspicion and is safe for concurrent use.
type suspicions struct {
	// count is the number of engines in tracker; while it is zero, lookups need no lock.
	count atomic.Int64

	mu      sync.Mutex
	tracker *suspicion.Tracker
	// updates are engines whose failures are to be reported to the other gateways.
	updates []string
}

func newSuspicions(router string) *suspicions { return &suspicions{tracker: suspicion.New(router)} }

// failed records a failure observed here and returns whether to report it to the other gateways.
func (s *suspicions) failed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tracker.Failed(id, time.Now()) {
		return false
	}
	s.count.Store(int64(s.tracker.Len()))
	return true
}

func (s *suspicions) reported(from, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Reported(from, id, time.Now())
	s.count.Store(int64(s.tracker.Len()))
}

// clear forgets the failures at an engine.
func (s *suspicions) clear(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Clear(id)
}

// report adds an engine to those whose failures are reported to the other gateways.
func (s *suspicions) report(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, id)
}

func (s *suspicions) succeeded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Succeeded(id)
}

// condition returns the suspicion of an engine, and whether there is one.
func (s *suspicions) condition(id string, now time.Time) (eligibility.Condition, bool) {
	if s.count.Load() == 0 {
		return eligibility.Condition{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Condition(id, now)
}

func (s *suspicions) takeUpdates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.updates
	s.updates = nil
	return out
}

// engineFailed records a failure of an engine, as opposed to a refusal, and reports it to the other gateways. An error
// that blames the request shows nothing about the engine.
func (f *Forwarder) engineFailed(s registry.Server, reason outcome.Reason, err error) {
	if s.Stage == registry.Whole || reason != outcome.EngineLost && reason != outcome.EngineError || errors.Is(err, errRequestInvalid) {
		return
	}
	announce := f.exclusionFailed(s)
	if f.suspected(s) || announce {
		f.reportFailure(s)
	}
}

// suspect makes this and the other gateways prefer other engines for a while.
func (f *Forwarder) suspect(s registry.Server) {
	if f.suspected(s) {
		f.reportFailure(s)
	}
}

// suspected records a failure and returns whether to report it to the other gateways.
func (f *Forwarder) suspected(s registry.Server) bool {
	return !f.Off.Has(mechanism.Suspicion) && f.suspicions.failed(s.ID)
}

func (f *Forwarder) reportFailure(s registry.Server) {
	f.suspicions.report(s.ID)
	f.notifyPlacementChanged()
}

// engineSucceeded records that an engine runs, or has prefilled, a request that was sent at the given time.
func (f *Forwarder) engineSucceeded(s registry.Server, sent time.Time) {
	f.suspicions.succeeded(s.ID)
	f.exclusionSucceeded(s.ID, sent)
}

// TakeFailures returns the engines at which requests failed here since the last call. PlacementChanged is signalled
// when there are any.
func (f *Forwarder) TakeFailures() []string { return f.suspicions.takeUpdates() }

// ReceiveFailure takes another gateway's report that a request has failed at an engine.
func (f *Forwarder) ReceiveFailure(gateway, id string) {
	if !f.Off.Has(mechanism.Suspicion) {
		f.suspicions.reported(gateway, id)
	}
	f.exclusionReported(gateway, id)
}
