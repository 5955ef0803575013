package streamversions

import (
	"fmt"
	"testing"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// BenchmarkObserve observes the servers of the size to design for, which a router does once a second and with each change.
func BenchmarkObserve(b *testing.B) {
	var list []registry.Server
	for i := range 4500 {
		list = append(list, registry.Server{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("llm-", i%32), Stage: registry.Decode, Version: "v1"})
	}
	d := New(Config{Network: fleetNetwork{}, Metrics: metrics.NewSet()})
	for b.Loop() {
		d.Observe(list)
	}
}
