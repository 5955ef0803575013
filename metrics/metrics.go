// Package metrics names the counters and gauges of a process, kept by go-metrics,
// with one counter for each reason of a refusal and of a retry. docs/METRICS.md
// is the catalogue; a test keeps the two equal.
package metrics

import (
	"encoding/json"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Prefixes of the counters kept per reason.
const (
	RefusedPrefix = "refused."
	RetriedPrefix = "retried."
	// RetryDeniedPrefix is followed by why a failed attempt was the last one.
	RetryDeniedPrefix = "retry_denied."
	EndedPrefix       = "ended."
	// AttemptFailedPrefix is followed by the reason for which an attempt failed.
	AttemptFailedPrefix = "attempt_failed."
	// EntryUnreadablePrefix is followed by the reason for which the entry of a server can't be used.
	EntryUnreadablePrefix = "entries_unreadable."
	// RequestTimePrefix is followed by the kind of the route.
	RequestTimePrefix = "request_time."
)

// Set is the metrics of one process. It is safe for concurrent use.
type Set struct {
	registry gometrics.Registry
}

// NewSet returns a set with every reason's counters at zero.
func NewSet() *Set {
	s := &Set{registry: gometrics.NewRegistry()}
	for _, r := range outcome.All() {
		s.Counter(RefusedPrefix + string(r))
		s.Counter(RetriedPrefix + string(r))
	}
	for _, r := range registry.FaultReasons() {
		s.Counter(EntryUnreadablePrefix + string(r))
	}
	for _, k := range []outcome.Kind{outcome.Completed, outcome.NotRun, outcome.Failed, outcome.Unknown} {
		s.Counter(EndedPrefix + k.String())
	}
	return s
}

// Counter returns the counter of that name.
func (s *Set) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, s.registry)
}

// Gauge returns the gauge of that name.
func (s *Set) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, s.registry)
}

// GaugeFunc registers a gauge that is read when the metrics are.
func (s *Set) GaugeFunc(name string, f func() int64) {
	_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f))
}

// Timer returns the timer of that name.
func (s *Set) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, s.registry)
}

// Refused counts a refusal.
func (s *Set) Refused(r outcome.Reason) { s.Counter(RefusedPrefix + string(r)).Inc(1) }

// Retried counts a retry.
func (s *Set) Retried(r outcome.Reason) { s.Counter(RetriedPrefix + string(r)).Inc(1) }

// RetryDenied counts a request that failed and is not tried again.
func (s *Set) RetryDenied(why string) { s.Counter(RetryDeniedPrefix + why).Inc(1) }

// Ended counts the end of a request.
func (s *Set) Ended(k outcome.Kind) { s.Counter(EndedPrefix + k.String()).Inc(1) }

// EntryUnreadable counts an entry of a server that has become faulty.
func (s *Set) EntryUnreadable(r registry.Reason) { s.Counter(EntryUnreadablePrefix + string(r)).Inc(1) }

// ServeHTTP writes all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.registry)
}
