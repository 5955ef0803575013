package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Said is what a server says of itself in an answer, beside the answer. What an answer does not say any more has ended.
type Said struct {
	// Limited is set if the server takes no more than Limit requests a second, of all routers together.
	Limited bool
	Limit   float64
	// Fault names the field of the answer that can't be understood; what was said before it holds on.
	Fault string
}

// said is the last that each server said. It is safe for concurrent use.
type said struct {
	mu     sync.Mutex
	latest map[string]Said
}

func newSaid() *said { return &said{latest: map[string]Said{}} }

// changed notes what a server says and reports whether it said something else before.
func (s *said) changed(id string, now Said) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest[id] == now {
		return false
	}
	s.latest[id] = now
	if now == (Said{}) {
		delete(s.latest, id)
	}
	return true
}

// limited is the number of servers that name a limit.
func (s *said) limited() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, l := range s.latest {
		if l.Limited {
			n++
		}
	}
	return n
}

// forget drops servers that known does not name.
func (s *said) forget(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.latest {
		if !known(id) {
			delete(s.latest, id)
		}
	}
}

// hear takes what a server says of itself in an answer to a request that was sent to it at a time.
func (f *Forwarder) hear(s registry.Server, now Said, _ time.Time) {
	if !f.said.changed(s.ID, now) {
		return
	}
	f.Metrics.Gauge(metrics.ServersLimited).Update(f.said.limited())
	if now.Fault != "" {
		event.SaidInvalid.Log(f.Log).Str("server", s.ID).Str("field", now.Fault).Msg("")
		return
	}
	event.ServerLimited.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Bool("limited", now.Limited).Float64("per_second", now.Limit).Msg("")
}
