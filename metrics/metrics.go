// Package metrics declares the counters, gauges and timers of a process, which go-metrics
// implements, with one counter for each reason of a rejection and of a retry.
// docs/METRICS.md documents them; a test checks that it matches the code.
package metrics

import (
	"encoding/json"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Prefixes of the families of metrics.
const (
	RefusedPrefix = "refused."
	RetriedPrefix = "retried."
	// RetryDeniedPrefix is followed by the reason for which a failed attempt was not retried.
	RetryDeniedPrefix = "retry_denied."
	EndedPrefix       = "ended."
	// AttemptFailedPrefix is followed by the reason of the failure.
	AttemptFailedPrefix = "attempt_failed."
	// WithheldPrefix is followed by the reason for which a request was not sent to its chosen server.
	WithheldPrefix = "withheld."
	// WastedPrefillPrefix is followed by the cause for which prefilled tokens were not used.
	WastedPrefillPrefix = "wasted_prefill."
	// QuotaRejectedPrefix is followed by the priority of the route of a request that its customer's quota rejected.
	QuotaRejectedPrefix = "quota_rejected."
	// EntryUnreadablePrefix is followed by the reason for which the registry entry of a server can't be used.
	EntryUnreadablePrefix = "entries_unreadable."
	// ContinuationFailedPrefix is followed by the reason for which a run did not continue from a copy.
	ContinuationFailedPrefix = "continuations_failed."
	// MovedPrefix is followed by the reason for which a run moved to another engine.
	MovedPrefix = "moves."
	// RequestTimePrefix is followed by the kind of the route.
	RequestTimePrefix = "request_time."
	// StreamsTruncatedPrefix is followed by the framing of an engine's answer that ended inside an event.
	StreamsTruncatedPrefix = "streams_truncated."
	// StreamLookupsPrefix is followed by how the version of a resumed stream was found.
	StreamLookupsPrefix = "stream_lookups."
	// MemoryWaitsPrefix and MemoryRejectionsPrefix are followed by a MemoryReason.
	MemoryWaitsPrefix      = "memory_waits."
	MemoryRejectionsPrefix = "memory_rejections."
)

// MemoryReason is why a request waits for memory or is rejected for lack of it.
type MemoryReason string

// Reasons of waits and, with or without OverShareSuffix, of rejections.
const (
	// MemoryShort is a wait of a request whose customer is within its share, or has none, MemoryOverShare one of a
	// customer over its share.
	MemoryShort     MemoryReason = "short"
	MemoryOverShare MemoryReason = "over_share"
	// MemoryEarly is a rejection without waiting, MemoryWaited one after the time that the request could wait.
	MemoryEarly  MemoryReason = "early"
	MemoryWaited MemoryReason = "waited"
	// OverShareSuffix is appended if the customer is over its share.
	OverShareSuffix MemoryReason = "_over_share"
)

// MemoryWait counts a request that waits for memory.
func (s *Set) MemoryWait(r MemoryReason) { s.Counter(MemoryWaitsPrefix + string(r)).Inc(1) }

// MemoryRejection counts a request that is rejected for lack of memory.
func (s *Set) MemoryRejection(r MemoryReason) { s.Counter(MemoryRejectionsPrefix + string(r)).Inc(1) }

// Set is the metrics of one process. It is safe for concurrent use.
type Set struct {
	registry gometrics.Registry
}

// NewSet returns a set in which the counters of all known reasons and outcomes exist, at zero.
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

// GaugeFunc registers a gauge whose value f returns whenever the metrics are read.
func (s *Set) GaugeFunc(name string, f func() int64) {
	_ = s.registry.Register(name, gometrics.NewFunctionalGauge(f))
}

// Timer returns the timer of that name.
func (s *Set) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, s.registry)
}

// Refused counts a rejected request.
func (s *Set) Refused(r outcome.Reason) { s.Counter(RefusedPrefix + string(r)).Inc(1) }

// Retried counts a retry.
func (s *Set) Retried(r outcome.Reason) { s.Counter(RetriedPrefix + string(r)).Inc(1) }

// RetryDenied counts a failed request that is not retried.
func (s *Set) RetryDenied(why string) { s.Counter(RetryDeniedPrefix + why).Inc(1) }

// Withheld counts a request that is not sent to its chosen server, since it had announced that
// it accepts no more.
func (s *Set) Withheld(r eligibility.Reason) { s.Counter(WithheldPrefix + r.String()).Inc(1) }

// Ended counts a request that ended with the given kind of outcome.
func (s *Set) Ended(k outcome.Kind) { s.Counter(EndedPrefix + k.String()).Inc(1) }

// EntryUnreadable counts a registry entry of a server that became invalid.
func (s *Set) EntryUnreadable(r registry.Reason) { s.Counter(EntryUnreadablePrefix + string(r)).Inc(1) }

// ServeHTTP writes all metrics as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.registry)
}
