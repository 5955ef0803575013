package forward

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// EngineFailure is a failed request at an engine.
type EngineFailure struct {
	// ID is that of the engine's incarnation.
	ID string
	// Inconclusive is set if the engine did not answer in time, as an overloaded one, or is stopping. Others avoid it
	// for a while, but it does not exclude the engine.
	Inconclusive bool
}

// suspicions are the engines at which requests of any gateway failed recently. It adds clocks and locking to
// policy/suspicion and is safe for concurrent use.
type suspicions struct {
	// count is the number of engines in tracker; while it is zero, lookups need no lock.
	count atomic.Int64

	mu      sync.Mutex
	tracker *suspicion.Tracker
	// updates are failures that are to be reported to the other gateways.
	updates []EngineFailure
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

// report adds a failure to those that are reported to the other gateways.
func (s *suspicions) report(e EngineFailure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, e)
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

func (s *suspicions) takeUpdates() []EngineFailure {
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
	late := timedOut(err)
	announce := !late && f.exclusionFailed(s)
	if f.suspected(s) || announce {
		f.reportFailure(EngineFailure{ID: s.ID, Inconclusive: late})
	}
}

// timedOut reports whether an attempt was given up because its engine sent nothing in time.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, errStalled) || errors.As(err, &timeout) && timeout.Timeout()
}

// suspect makes this and the other gateways prefer other engines for a while.
func (f *Forwarder) suspect(s registry.Server) {
	if f.suspected(s) {
		f.reportFailure(EngineFailure{ID: s.ID, Inconclusive: true})
	}
}

// suspected records a failure and returns whether to report it to the other gateways.
func (f *Forwarder) suspected(s registry.Server) bool {
	return !f.Off.Has(mechanism.Suspicion) && f.suspicions.failed(s.ID)
}

func (f *Forwarder) reportFailure(e EngineFailure) {
	f.suspicions.report(e)
	f.notifyPlacementChanged()
}

// engineSucceeded records that an engine runs, or has prefilled, a request that was sent at the given time.
func (f *Forwarder) engineSucceeded(s registry.Server, sent time.Time) {
	f.suspicions.succeeded(s.ID)
	f.exclusionSucceeded(s.ID, sent)
}

// TakeFailures returns the failures to report since the last call. PlacementChanged is signalled
// when there are any.
func (f *Forwarder) TakeFailures() []EngineFailure { return f.suspicions.takeUpdates() }

// ReceiveFailure takes another gateway's report that a request has failed at an engine.
func (f *Forwarder) ReceiveFailure(gateway string, e EngineFailure) {
	if !f.Off.Has(mechanism.Suspicion) {
		f.suspicions.reported(gateway, e.ID)
	}
	if !e.Inconclusive {
		f.exclusionReported(gateway, e.ID)
	}
}
