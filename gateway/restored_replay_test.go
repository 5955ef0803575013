package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// copiedStore is a store that is restored from a copy, with one server that leaves.
type copiedStore struct {
	mu           sync.Mutex
	era, version int64
	leaving      bool
}

func (s *copiedStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// positioner orders the readings of one gateway.
type positioner func(era, version int64) store.Position

// Ways to order readings of a store that is restored.
var positionWays = []struct {
	name string
	// new returns the positioner of a process that has just started.
	new func() positioner
}{
	{"version alone", func() positioner {
		return func(_, version int64) store.Position { return store.At(0, version) }
	}},
	{"era guessed from a version that goes back", func() positioner {
		guess, last := int64(0), int64(0)
		return func(_, version int64) store.Position {
			if version < last {
				guess++
			}
			last = version
			return store.At(guess, version)
		}
	}},
	{"era that the store states", func() positioner { return store.At }},
}

// copiedStoreClient is one gateway's connection to the store.
type copiedStoreClient struct {
	tableStore
	s        *copiedStore
	mu       sync.Mutex
	position positioner
}

// Servers implements Store.
func (c *copiedStoreClient) Servers(ctx context.Context) (registry.Snapshot, store.Position, error) {
	sleep.For(ctx, storeLatency)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	server := registry.Server{ID: "i-1", Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 1, Leaving: c.s.leaving}
	return registry.Snapshot{Servers: []registry.Server{server}}, c.position(c.s.era, c.s.version), ctx.Err()
}

// TestGatewaysHearOfLeavingServerAfterRestore replays a store that loses 400 versions, and a server that then leaves, among
// twelve gateways. In half of the seeds the two that read the store restart in between. With the era that the store
// states, all gateways know of the leaving server within the users' bound of two seconds.
func TestGatewaysHearOfLeavingServerAfterRestore(t *testing.T) {
	const (
		gateways, seeds = 12, 8
		setupTime       = 10 * time.Second
		lost            = 400
		bound           = 2 * time.Second
		timeout         = 10 * time.Second
	)
	for i, way := range positionWays {
		t.Run(way.name, func(t *testing.T) {
			late, slowest := 0, time.Duration(0)
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 45))
					ctx, cancel := context.WithCancel(t.Context())
					s := &copiedStore{era: 1, version: lost}
					var clients []*copiedStoreClient
					cl := newClusterWith(ctx, 2, gateways-2, Settings{}, func(int) Store {
						clients = append(clients, &copiedStoreClient{s: s, position: way.new()})
						return clients[len(clients)-1]
					})
					for _, g := range cl.gateways {
						g.view.applyTable(&route.Table{Version: 1}, nil)
						go g.followServers(ctx)
					}
					time.Sleep(setupTime)
					s.change(func() { s.era, s.version = s.era+1, s.version-lost })
					time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
					if seed%2 == 1 {
						for _, c := range clients[:storeReaders] {
							c.mu.Lock()
							c.position = way.new()
							c.mu.Unlock()
						}
					}
					s.change(func() { s.leaving, s.version = true, s.version+1 })
					took := untilLeavingKnown(cl, timeout)
					slowest = max(slowest, took)
					if took > bound {
						late++
					}
					cancel()
					synctest.Wait()
				})
			}
			t.Logf("%s: %d of %d late, the slowest after %v", way.name, late, seeds, slowest)
			if i == len(positionWays)-1 {
				assert.Equal(t, late, 0, "all gateways hear of it in time: %v", slowest)
			}
		})
	}
}

// untilLeavingKnown returns how long it takes until all gateways know that the server leaves, timeout at most.
func untilLeavingKnown(cl *cluster, timeout time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Now()
	for time.Since(start) < timeout {
		known := 0
		for _, g := range cl.gateways {
			if g.view.Leaving("i-1") {
				known++
			}
		}
		if known == len(cl.gateways) {
			break
		}
		time.Sleep(step)
	}
	return time.Since(start)
}
