package kvmemory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// TestStaggeredPlacement replays memory that becomes free while requests are queued at many
// routers, which receive each other's placements some milliseconds later. With staggered delays two
// requests are placed on memory for one, without them one by each router.
func TestStaggeredPlacement(t *testing.T) {
	with := kvmemory.DefaultConfig()
	without := with
	without.Stagger = 0
	for _, c := range []struct {
		name                 string
		cfg                  kvmemory.Config
		minPlaced, maxPlaced float64
	}{
		{"turns", with, 1, 2.5},
		{"none", without, 20, 23},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, late := placedPerFreedRun(c.cfg, false), placedPerFreedRun(c.cfg, true)
			t.Logf("%.2f placed per request that fits, %.2f when all are late", got, late)
			assert.Assert(t, got >= c.minPlaced && got <= c.maxPlaced)
			assert.Assert(t, late >= c.minPlaced && late <= c.maxPlaced)
		})
	}
}

// TestStaggerStarvesNoRouter: where runs end every 20 ms, less than the staggered delays of a
// hundred routers take, the router with the longest delay still places requests, including late
// ones.
func TestStaggerStarvesNoRouter(t *testing.T) {
	for _, late := range []bool{false, true} {
		pool := lastRouterPool(100)
		pool.SetRouters(100)
		l := constantLoad(20_000)
		placed := 0
		for i := range 2000 {
			now := ms(i)
			if i%20 == 0 {
				l.Runs = 40 - i/20%2
				pool.SetPeerLoad("a", l, now)
			}
			if _, ok := pool.Pick(kvmemory.Request{Run: run(1000), Late: late}, now); ok {
				placed++
			}
		}
		assert.Assert(t, placed > 20, "late %t: placed in %d of 2000 ms", late, placed)
	}
}

// lastRouterPool returns the pool of the router with the longest delay of n at engine a.
func lastRouterPool(n int) *kvmemory.Pool {
	seed, lowest := "", 1.0
	for i := range n {
		name := fmt.Sprintf("edge-%d", i)
		if a := affinity.Of(name, "a"); a < lowest {
			seed, lowest = name, a
		}
	}
	return pool(seed, 1)
}

// placedPerFreedRun is the mean number of requests that 23 routers place on memory for one.
func placedPerFreedRun(cfg kvmemory.Config, late bool) float64 {
	const (
		routers     = 23
		rounds      = 40
		reportDelay = 4 * time.Millisecond
		need        = 6000
	)
	rng := rand.New(rand.NewPCG(1, 2))
	placed := 0
	for range rounds {
		pools := make([]*kvmemory.Pool, routers)
		for i := range pools {
			pools[i] = kvmemory.New(cfg, string(rune('A'+i))+string(rune('a'+rng.IntN(26)))+string(rune('a'+rng.IntN(26))))
			pools[i].Sync(servers(1))
			pools[i].SetRouters(routers)
			full := constantLoad(50_000)
			full.Runs = 8
			pools[i].SetPeerLoad("a", full, start)
			// One run has ended. A late request needs more free memory than its own size.
			freed := constantLoad(50_000 - need)
			if late {
				freed = constantLoad(50_000 - need - 12_500)
			}
			freed.Runs = 7
			pools[i].SetPeerLoad("a", freed, start)
		}
		placed += placeConcurrently(pools, late, reportDelay)
	}
	return float64(placed) / rounds
}

// placeConcurrently lets each router place one request as soon as its delay permits, unless it has
// received another router's placement, and returns the number of placements.
func placeConcurrently(pools []*kvmemory.Pool, late bool, reportDelay time.Duration) int {
	const need = 6000
	placedAt := map[int]time.Time{}
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for i, p := range pools {
			if _, done := placedAt[i]; done || reportedBefore(placedAt, now.Add(-reportDelay)) {
				continue
			}
			if _, ok := p.Pick(kvmemory.Request{Run: run(need), Late: late}, now); ok {
				placedAt[i] = now
			}
		}
	}
	return len(placedAt)
}

// reportedBefore reports whether a placement was made at or before a time.
func reportedBefore(placedAt map[int]time.Time, before time.Time) bool {
	for _, t := range placedAt {
		if !t.After(before) {
			return true
		}
	}
	return false
}

// TestYieldingRequestsPlaceLast guards against requests that yield and still take freed memory before other routers do,
// and against ones that keep memory free, as late requests do.
func TestYieldingRequestsPlaceLast(t *testing.T) {
	const full, freed = 41_000, 30_000
	firstPlaced := func(r kvmemory.Request) int {
		pool := lastRouterPool(100)
		pool.SetRouters(100)
		for i, tokens := range []int{full, freed} {
			l := constantLoad(tokens)
			l.Runs = 8 - i
			pool.SetPeerLoad("a", l, ms(2000*i))
		}
		for i := range 1000 {
			if _, ok := pool.Pick(r, ms(2000+i)); ok {
				return i
			}
		}
		return -1
	}
	usual, yields := firstPlaced(kvmemory.Request{Run: run(9000)}), firstPlaced(kvmemory.Request{Run: run(9000), Yields: true})
	t.Logf("placed after %d ms, after %d ms if it yields", usual, yields)
	assert.Assert(t, usual >= 0 && yields >= usual+50)
	assert.Equal(t, firstPlaced(kvmemory.Request{Run: run(9000), Late: true}), -1, "no memory remains beside it")
}
