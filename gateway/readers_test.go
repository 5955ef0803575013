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
)

// countingStore counts readings of the list of servers.
type countingStore struct {
	tableStore
	readings atomic.Int64
}

// Servers implements Store.
func (s *countingStore) Servers(context.Context) (registry.Snapshot, int64, error) {
	s.readings.Add(1)
	return registry.Snapshot{Servers: []registry.Server{{ID: "i-1", Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 1}}}, 7, nil
}

// TestTwoReadForAll: however many gateways there are, two of them read the list of servers from the store, and all
// others know that they do. At three thousand servers a reading is some 600 kB.
func TestTwoReadForAll(t *testing.T) {
	const (
		settle = 10 * time.Second
		window = 5 * time.Second
	)
	for _, gateways := range []int{12, manyGateways} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f, store := newFleet(ctx, 2, gateways-2), &countingStore{}
				for _, s := range f.gateways {
					s.store = store
					s.view.applyTable(&route.Table{Version: 1}, nil)
					go s.followServers(ctx)
				}
				time.Sleep(settle)
				before := store.readings.Load()
				time.Sleep(window)
				got := store.readings.Load() - before
				// The pause between two readings is serversInterval, a tenth less at least.
				most := readers * (int64(window/(serversInterval*9/10)) + 1)
				t.Logf("%d readings, %d at most by two", got, most)
				assert.Check(t, got <= most, "%d readings in %s", got, window)
				cancel()
				synctest.Wait()
			})
		})
	}
}
