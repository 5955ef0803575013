package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// doubts are the engines at which requests of any gateway failed a moment ago. It joins policy/suspicion to clocks and is
// safe for concurrent use.
type doubts struct {
	mu      sync.Mutex
	tracker *suspicion.Tracker
	// news are engines that the other gateways are to be told of.
	news []string
}

func newDoubts(router string) *doubts { return &doubts{tracker: suspicion.New(router)} }

// failed notes a failure seen here and reports whether the other gateways are to be told.
func (d *doubts) failed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracker.Failed(id, time.Now()) {
		return false
	}
	d.news = append(d.news, id)
	return true
}

func (d *doubts) told(from, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Reported(from, id, time.Now())
}

func (d *doubts) succeeded(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Succeeded(id)
}

func (d *doubts) doubtful(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Suspected(id, time.Now())
}

func (d *doubts) take() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.news
	d.news = nil
	return out
}

// engineFailed notes a failure of an engine, as opposed to a refusal, and has the other gateways told.
func (f *Forwarder) engineFailed(s registry.Server, reason outcome.Reason) {
	if s.Stage != registry.Whole && (reason == outcome.EngineLost || reason == outcome.EngineError) {
		f.doubt(s)
	}
}

// doubt prefers other engines for a moment, here and at the other gateways.
func (f *Forwarder) doubt(s registry.Server) {
	if !f.Off.Has(mechanism.Doubts) && f.doubts.failed(s.ID) {
		f.tellPlaced()
	}
}

// TakeFailures returns the engines at which requests failed here since the last call. PlacementChanged is sent to when
// there are any.
func (f *Forwarder) TakeFailures() []string { return f.doubts.take() }

// Failing takes from another gateway that a request has failed at an engine.
func (f *Forwarder) Failing(gateway, id string) {
	if !f.Off.Has(mechanism.Doubts) {
		f.doubts.told(gateway, id)
	}
}
