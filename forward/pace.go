package forward

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// paces returns the speed of the engines that get work, how many of them are slower than usual, and the changes since
// the last call.
func (e *engines) paces(now time.Time) (fleet enginepace.Fleet, slow int, changes []kvmemory.PaceChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fleet, slow = e.memory.FleetPace(now)
	return fleet, slow, e.memory.TakePaceChanges()
}

// RecordPaces logs engines that have become several times slower than usual, or have recovered, and updates the
// metrics of the engines' speed. The fastest and the slowest engine are those of the service in which they differ most.
func (f *Forwarder) RecordPaces() {
	f.mu.Lock()
	services := maps.Clone(f.services)
	f.mu.Unlock()
	var widest enginepace.Fleet
	known, slow := 0, 0
	for _, name := range slices.Sorted(maps.Keys(services)) {
		fleet, n, changes := services[name].engines.paces(time.Now())
		f.logPaceChanges(name, changes)
		known, slow = known+fleet.Known, slow+n
		if fleet.Spread() > widest.Spread() {
			widest = fleet
		}
	}
	f.Metrics.Gauge(metrics.EnginePacesKnown).Update(int64(known))
	f.Metrics.Gauge(metrics.EnginesSlow).Update(int64(slow))
	f.Metrics.Gauge(metrics.EnginePaceFastest).Update(int64(math.Round(1e6 * widest.Fastest)))
	f.Metrics.Gauge(metrics.EnginePaceSlowest).Update(int64(math.Round(1e6 * widest.Slowest)))
	f.Metrics.Gauge(metrics.EnginePaceSpread).Update(int64(math.Round(100 * widest.Spread())))
}

func (f *Forwarder) logPaceChanges(service string, changes []kvmemory.PaceChange) {
	for _, c := range changes {
		event.EnginePaceChanged.Log(f.Log).Str("server", c.ID).Str("service", service).Bool("slow", c.Slow).
			Int64("usual", c.Usual.Microseconds()).Int64("now", c.Current.Microseconds()).Msg("")
	}
}

// Pace returns the time per generated token that is expected at an engine, zero if unknown, and whether it is several
// times slower than usual.
func (f *Forwarder) Pace(c registry.Server) (perToken time.Duration, slow bool) {
	if c.Stage != registry.Decode {
		return 0, false
	}
	e := f.service(c.Service).engines
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.Pace(c.ID)
}
