package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// countingStore counts readings of the server list.
type countingStore struct {
	tableStore
	readings atomic.Int64
}

// Servers implements Store.
func (s *countingStore) Servers(context.Context) (registry.Snapshot, store.Position, error) {
	s.readings.Add(1)
	return registry.Snapshot{Servers: []registry.Server{{ID: "i-1", Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 1}}}, 7, nil
}

// TestTwoGatewaysReadStore: whatever the number of gateways, two of them read the server list from the store, and all
// others are informed of it. At three thousand servers a reading has some 600 kB.
func TestTwoGatewaysReadStore(t *testing.T) {
	const (
		setupTime = 10 * time.Second
		window    = 5 * time.Second
	)
	for _, gateways := range []int{12, manyGateways} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cl, store := newCluster(ctx, 2, gateways-2), &countingStore{}
				for _, s := range cl.gateways {
					s.store = store
					s.view.applyTable(&route.Table{Version: 1}, nil)
					go s.followServers(ctx)
				}
				time.Sleep(setupTime)
				before := store.readings.Load()
				time.Sleep(window)
				got := store.readings.Load() - before
				// The interval between two readings is serverListInterval; jitter shortens it by a tenth at most.
				maxReadings := storeReaders * (int64(window/(serverListInterval*9/10)) + 1)
				t.Logf("%d readings, %d at most by two", got, maxReadings)
				assert.Check(t, got <= maxReadings, "%d readings in %s", got, window)
				cancel()
				synctest.Wait()
			})
		})
	}
}
