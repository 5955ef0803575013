package forward_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// saturatingEngines places requests of others on an engine during each of the first maxTimes reservations.
type saturatingEngines struct {
	forward.Engines
	fwd *forward.Forwarder

	mu         sync.Mutex
	maxTimes   int
	reservedAt []string
}

// Reserve implements forward.Engines.
func (c *saturatingEngines) Reserve(ctx context.Context, s registry.Server, tokens int, lifetime time.Duration) (string, error) {
	reservation, err := c.Engines.Reserve(ctx, s, tokens, lifetime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservedAt = append(c.reservedAt, s.ID)
	if len(c.reservedAt) <= c.maxTimes {
		full := kvmemory.Load{Tokens: 10_000, Runs: 2, Forecast: kvmemory.Constant(10_000)}
		c.fwd.SetPeerLoads(map[string]kvmemory.Load{s.ID: full})
	}
	return reservation, err
}

// TestSaturatedEngineIsYielded: a request whose engine was chosen by others at the same moment returns its reservation
// and goes to another engine, before anything of it was sent. After two such moves it stays.
func TestSaturatedEngineIsYielded(t *testing.T) {
	for _, c := range []struct {
		name            string
		saturated, want int
	}{
		{"one saturated", 1, 2},
		{"two saturated", 2, 3},
		{"all saturated", 9, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
			for _, id := range []string{"d1", "d2", "d3", "d4"} {
				w.add(t, id, "llm", registry.Decode)
			}
			engines := &saturatingEngines{Engines: w.fwd.Engines, fwd: w.fwd, maxTimes: c.saturated}
			w.fwd.Engines = engines
			assert.Equal(t, w.post(t, "/draft/patient/1").status, 200)
			assert.Equal(t, len(engines.reservedAt), c.want, "%v", engines.reservedAt)
			assert.Equal(t, w.met.Counter(metrics.ReservationsYielded).Count(), int64(c.want-1))
			last := engines.reservedAt[c.want-1]
			w.log.Wait(t, false, func(call site.Call) bool { return call.Kind == site.Decode && call.Server == last })
		})
	}
}
