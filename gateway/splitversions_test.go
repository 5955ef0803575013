package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Guards against a whole list that is fetched by most gateways, since the two that read the store have read the same
// change at different versions: the others hold the same list under either version.
func TestEqualListsAreNotFetched(t *testing.T) {
	const (
		servers      = 10 * manyGateways
		setupTime    = 8 * time.Second
		settleTime   = 300 * time.Millisecond
		initial      = 90
		first, later = 100, 103
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cl := newCluster(ctx, manyGateways, 0)
		var list []registry.Server
		for i := range servers {
			list = append(list, registry.Server{ID: fmt.Sprintf("i-%06d", i), Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 48})
		}
		for _, s := range cl.gateways {
			s.view.applyServers(initial, list, time.Now())
		}
		time.Sleep(setupTime)
		changed := slices.Clone(list)
		changed[0].Slots++
		for i, version := range []store.Position{first, later} {
			if s := cl.gateways[i]; s.view.applyServers(version, changed, time.Now()) {
				s.serversChanged(version, fromStore)
			}
		}
		time.Sleep(settleTime)
		fetches := int64(0)
		for i, s := range cl.gateways {
			assert.Check(t, s.view.listVersion() == later, "gateway %d has version %d", i, s.view.listVersion())
			fetches += s.metrics.Counter(metrics.Fetches).Count()
		}
		assert.Equal(t, fetches, int64(0))
		cancel()
		synctest.Wait()
	})
}
