package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// BenchmarkClosed is what it costs to look at all of 350 servers, none of which has said anything, and where one has.
func BenchmarkClosed(b *testing.B) {
	f := New(Config{Engines: silentEngines{}, Metrics: metrics.NewSet()})
	ids := make([]string, 350)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	look := func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for _, id := range ids {
				f.closed(id)
			}
		}
	}
	b.Run("none", look)
	f.rests.asked(ids[7], time.Hour)
	f.limits.name(ids[9], 1)
	b.Run("one rests, one is limited", look)
}
