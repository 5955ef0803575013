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

// crowding lets others place requests on an engine while its memory is being reserved, most times.
type crowding struct {
	forward.Engines
	fwd *forward.Forwarder

	mu    sync.Mutex
	most  int
	asked []string
}

// Reserve implements forward.Engines.
func (c *crowding) Reserve(ctx context.Context, s registry.Server, tokens int, life time.Duration) (string, error) {
	reservation, err := c.Engines.Reserve(ctx, s, tokens, life)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, s.ID)
	if len(c.asked) <= c.most {
		full := kvmemory.Load{Tokens: 10_000, Runs: 2, Forecast: kvmemory.Constant(10_000)}
		c.fwd.SetOthers(map[string]kvmemory.Load{s.ID: full})
	}
	return reservation, err
}

// TestCrowdedEngineIsLeft: a request whose engine was chosen by others in the same moment gives its reservation back
// and goes to another engine, before anything of it was sent. When it has done so twice it stays.
func TestCrowdedEngineIsLeft(t *testing.T) {
	for _, c := range []struct {
		name          string
		crowded, want int
	}{
		{"one crowded", 1, 2},
		{"two crowded", 2, 3},
		{"all crowded", 9, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			for _, id := range []string{"d1", "d2", "d3", "d4"} {
				w.add(t, id, "llm", registry.Decode)
			}
			engines := &crowding{Engines: w.fwd.Engines, fwd: w.fwd, most: c.crowded}
			w.fwd.Engines = engines
			assert.Equal(t, w.post(t, "/draft/patient/1").status, 200)
			assert.Equal(t, len(engines.asked), c.want, "%v", engines.asked)
			assert.Equal(t, w.met.Counter(metrics.ReservationsYielded).Count(), int64(c.want-1))
			last := engines.asked[c.want-1]
			w.log.Wait(t, false, func(call site.Call) bool { return call.Kind == site.Decode && call.Server == last })
		})
	}
}
