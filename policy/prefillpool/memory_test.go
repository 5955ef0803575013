package prefillpool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestExportsAreCountedAsMemory guards against prompts that prefill engines reject because exports wait there to be
// fetched: a burst of prompts of 27 routers at engines that hold each prompt for some time after its prefill.
func TestExportsAreCountedAsMemory(t *testing.T) {
	without, _ := replayMemory(false)
	with, sent := replayMemory(true)
	t.Logf("of %d prompts, engines rejected %d when only backlogs count, %d with exports", sent, without, with)
	assert.Assert(t, with*10 < without)
}

// replayMemory returns how many prompts engines rejected, and how many were sent.
func replayMemory(countExports bool) (rejected, sent int) {
	const (
		routers, engines, memory = 27, 13, 28_000
		perToken, fetch          = 20 * time.Microsecond, 300 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(5, 6))
	var pools []*prefillpool.Pool
	for i := range routers {
		pools = append(pools, prefillpool.New(prefillpool.DefaultConfig(), fmt.Sprint("edge-", i)))
	}
	var list []registry.Server
	for i := range engines {
		list = append(list, registry.Server{ID: fmt.Sprint("e", i), Zone: "z1", Stage: registry.Prefill})
	}
	var ends []prefillEnd
	used, freeAt := map[string]int{}, map[string]time.Time{}
	for step := range 5000 {
		now := ms(step)
		ends = slices.DeleteFunc(ends, func(e prefillEnd) bool {
			if now.Before(e.at) {
				return false
			}
			e.run()
			return true
		})
		if rng.Float64() > 0.13 {
			continue
		}
		reportLoads(pools, list)
		p, tokens := pools[rng.IntN(routers)], 2500+rng.IntN(5400)
		c, ok := p.Pick(list, prefillpool.Request{Tokens: tokens, Zone: "z1", SlotLoad: 1, Memory: memory}, now)
		if !ok {
			continue
		}
		sent++
		id := c.Server.ID
		if used[id]+tokens > memory {
			rejected++
			continue
		}
		used[id] += tokens
		p.Begin(id, tokens)
		begin := now
		if freeAt[id].After(now) {
			begin = freeAt[id]
		}
		end := begin.Add(time.Duration(tokens) * perToken)
		freeAt[id] = end
		ends = append(ends, prefillEnd{end, func() {
			p.End(c, tokens, true, end.Sub(now), end)
			if countExports {
				p.Exported(id, tokens)
			}
		}}, prefillEnd{end.Add(fetch), func() {
			used[id] -= tokens
			p.Released(id, tokens)
		}})
	}
	return rejected, sent
}

// reportLoads makes each pool know the loads of all others.
func reportLoads(pools []*prefillpool.Pool, list []registry.Server) {
	for _, s := range list {
		load, held := 0, 0
		for _, p := range pools {
			load, held = load+p.OwnLoad(s.ID), held+p.OwnHeld(s.ID)
		}
		for _, p := range pools {
			p.SetPeerLoad(s.ID, load-p.OwnLoad(s.ID))
			p.SetPeerHeld(s.ID, held-p.OwnHeld(s.ID))
		}
	}
}
