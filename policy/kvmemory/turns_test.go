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

// TestTurns replays memory that becomes free while requests wait at all of many routers, which
// hear of each other's placements some milliseconds later: with turns two are placed on memory
// for one, without them one by each router.
func TestTurns(t *testing.T) {
	with := kvmemory.DefaultConfig()
	without := with
	without.Stagger = 0
	for _, c := range []struct {
		name        string
		cfg         kvmemory.Config
		least, most float64
	}{
		{"turns", with, 1, 2.5},
		{"none", without, 20, 23},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, late := crowdAt(c.cfg, false), crowdAt(c.cfg, true)
			t.Logf("%.2f placed for each that fits, %.2f when all are late", got, late)
			assert.Assert(t, got >= c.least && got <= c.most)
			assert.Assert(t, late >= c.least && late <= c.most)
		})
	}
}

// TestEveryRouterHasItsTurn: where runs end every 20 ms, less than the turns of a hundred routers
// take, the one that comes last places requests all the same, late ones too.
func TestEveryRouterHasItsTurn(t *testing.T) {
	for _, late := range []bool{false, true} {
		last := lastOf(100)
		last.SetRouters(100)
		l := held(20_000)
		placed := 0
		for i := range 2000 {
			now := ms(i)
			if i%20 == 0 {
				l.Runs = 40 - i/20%2
				last.SetPeerLoad("a", l, now)
			}
			if _, ok := last.Pick(kvmemory.Request{Run: run(1000), Late: late}, now); ok {
				placed++
			}
		}
		assert.Assert(t, placed > 20, "late %t: placed in %d of 2000 ms", late, placed)
	}
}

// lastOf returns the pool of the router that comes last of n at engine a.
func lastOf(n int) *kvmemory.Pool {
	seed, least := "", 1.0
	for i := range n {
		name := fmt.Sprintf("edge-%d", i)
		if a := affinity.Of(name, "a"); a < least {
			seed, least = name, a
		}
	}
	return pool(seed, 1)
}

// crowdAt is the mean number of requests that are placed on memory for one, at 23 routers.
func crowdAt(cfg kvmemory.Config, late bool) float64 {
	const (
		routers = 23
		rounds  = 40
		hears   = 4 * time.Millisecond
		need    = 6000
	)
	rng := rand.New(rand.NewPCG(1, 2))
	placed := 0
	for range rounds {
		pools := make([]*kvmemory.Pool, routers)
		for i := range pools {
			pools[i] = kvmemory.New(cfg, string(rune('A'+i))+string(rune('a'+rng.IntN(26)))+string(rune('a'+rng.IntN(26))))
			pools[i].Sync(servers(1))
			pools[i].SetRouters(routers)
			full := held(50_000)
			full.Runs = 8
			pools[i].SetPeerLoad("a", full, start)
			// One run has ended. A late request needs more room than its own memory.
			room := held(50_000 - need)
			if late {
				room = held(50_000 - need - 12_500)
			}
			room.Runs = 7
			pools[i].SetPeerLoad("a", room, start)
		}
		placed += race(pools, late, hears)
	}
	return float64(placed) / rounds
}

// race lets all routers place one request each, as soon as they may, and hear of each other.
func race(pools []*kvmemory.Pool, late bool, hears time.Duration) int {
	const need = 6000
	at := map[int]time.Time{}
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for i, p := range pools {
			if _, done := at[i]; done || heardOf(at, now.Add(-hears)) {
				continue
			}
			if _, ok := p.Pick(kvmemory.Request{Run: run(need), Late: late}, now); ok {
				at[i] = now
			}
		}
	}
	return len(at)
}

// heardOf reports whether a placement was made before a time.
func heardOf(at map[int]time.Time, before time.Time) bool {
	for _, t := range at {
		if !t.After(before) {
			return true
		}
	}
	return false
}
