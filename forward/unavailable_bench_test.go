package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// BenchmarkUnavailable checks 350 servers, first without any signal and then with two servers that have sent one.
func BenchmarkUnavailable(b *testing.B) {
	f := New(Config{Engines: noSignalEngines{}, Metrics: metrics.NewSet()})
	ids := make([]string, 350)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	check := func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for _, id := range ids {
				f.unavailable(id)
			}
		}
	}
	b.Run("none", check)
	f.cooldowns.requested(ids[7], time.Hour)
	f.limits.set(ids[9], 1)
	b.Run("one in cooldown, one limited", check)
}
