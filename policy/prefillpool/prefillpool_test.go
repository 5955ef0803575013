package prefillpool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// servers are two prefill engines in different zones and a decode engine.
var servers = []registry.Server{
	{ID: "a", Zone: "z1", Stage: registry.Prefill},
	{ID: "b", Zone: "z2", Stage: registry.Prefill},
	{ID: "d", Zone: "z1", Stage: registry.Decode},
}

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(p *prefillpool.Pool)
		ask  prefillpool.Request
		want string
	}{
		{"the own zone", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z2", SlotLoad: 1}, "b"},
		{"the shorter line", func(p *prefillpool.Pool) { p.Begin("a", 5000) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "b"},
		{"lines of other routers count", func(p *prefillpool.Pool) { p.SetPeerLoad("b", 9000) }, prefillpool.Request{Tokens: 5000, Zone: "z2", SlotLoad: 1}, "a"},
		{"excluded", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Exclude: []string{"a"}}, "b"},
		{"exports can't be fetched", func(p *prefillpool.Pool) { p.BackOff("a", start) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "b"},
		{"long lines: an empty decode engine reads it", lines(12_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 0}, ""},
		{"long lines: a full decode engine doesn't", lines(12_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "a"},
		{"very long lines: a full one does", lines(60_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, ""},
		{"no memory left at one", func(p *prefillpool.Pool) { p.SetPeerLoad("a", 24_000) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 28_000}, "b"},
		{"no memory left", lines(24_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 28_000}, ""},
		{"larger than the memory, and alone", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 4000}, "a"},
		{"none is left", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", Exclude: []string{"a", "b"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
			p.Pick(servers, prefillpool.Request{Tokens: 1, SlotLoad: 1}, start)
			c.set(p)
			got, ok := p.Pick(servers, c.ask, ms(1))
			assert.Equal(t, ok, c.want != "")
			assert.Equal(t, got.Server.ID, c.want)
		})
	}
}

// lines puts that many tokens before both engines.
func lines(tokens int) func(p *prefillpool.Pool) {
	return func(p *prefillpool.Pool) {
		p.SetPeerLoad("a", tokens)
		p.SetPeerLoad("b", tokens)
	}
}

// TestLimitGrowsWithTheLine: a prompt that has to wait behind others is not given up as if its
// engine were mute.
func TestLimitGrowsWithTheLine(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	idle, _ := p.Pick(servers, prefillpool.Request{Tokens: 5000, SlotLoad: 1}, start)
	assert.Equal(t, idle.Timeout, 600*time.Millisecond)
	lines(40_000)(p)
	busy, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000, SlotLoad: 1}, start)
	assert.Assert(t, ok)
	assert.Assert(t, busy.Timeout >= 3*busy.Expected && busy.Expected >= 900*time.Millisecond, "%v, %v", busy.Timeout, busy.Expected)
}

// TestSlowEngine: one that turned slow gets fewer prompts, and is tried again in time.
func TestSlowEngine(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	ask := prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}
	for i := range 3 {
		c, _ := p.Pick(servers[:1], ask, ms(i))
		p.Begin("a", 5000)
		p.End(c, 5000, true, 8*c.Expected, ms(i))
	}
	got, _ := p.Pick(servers, ask, ms(10))
	assert.Equal(t, got.Server.ID, "b")
	got, _ = p.Pick(servers, ask, ms(10_000))
	assert.Equal(t, got.Server.ID, "a", "its zone, and it may be well again")
}

// TestBurstOfPrompts replays two seconds of prompts, at five routers, of about what three
// engines read: with lines told, fewer prompts are read later than in half a second.
func TestBurstOfPrompts(t *testing.T) {
	told, alone := late(true), late(false)
	t.Logf("late: %d with lines told, %d without", told, alone)
	assert.Assert(t, 2*told < alone)
}

// late plays the burst and counts the prompts that are read too late.
func late(tell bool) int {
	const (
		routers  = 5
		perToken = 20 * time.Microsecond
		tooLate  = 500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	list := []registry.Server{
		{ID: "a", Stage: registry.Prefill}, {ID: "b", Stage: registry.Prefill}, {ID: "c", Stage: registry.Prefill},
	}
	pools := make([]*prefillpool.Pool, routers)
	for i := range pools {
		pools[i] = prefillpool.New(prefillpool.DefaultConfig(), fmt.Sprint("edge-", i))
	}
	type sent struct {
		choice prefillpool.Choice
		tokens int
		end    time.Time
		at     time.Time
		router int
	}
	var open []sent
	free := map[string]time.Time{}
	count := 0
	for now := start; now.Before(ms(4000)); now = now.Add(time.Millisecond) {
		var left []sent
		for _, s := range open {
			if now.Before(s.end) {
				left = append(left, s)
				continue
			}
			pools[s.router].End(s.choice, s.tokens, true, s.end.Sub(s.at), now)
		}
		open = left
		if tell {
			for _, s := range list {
				for i, p := range pools {
					others := 0
					for j, o := range pools {
						if j != i {
							others += o.OwnLoad(s.ID)
						}
					}
					p.SetPeerLoad(s.ID, others)
				}
			}
		}
		if now.Sub(start) > 2*time.Second || rng.Float64() > 0.028 {
			continue
		}
		router, tokens := rng.IntN(routers), 2500+rng.IntN(5400)
		c, ok := pools[router].Pick(list, prefillpool.Request{Tokens: tokens, SlotLoad: 1}, now)
		if !ok {
			count++
			continue
		}
		pools[router].Begin(c.Server.ID, tokens)
		began := now
		if free[c.Server.ID].After(now) {
			began = free[c.Server.ID]
		}
		end := began.Add(time.Duration(tokens) * perToken)
		free[c.Server.ID] = end
		open = append(open, sent{c, tokens, end, now, router})
		if end.Sub(now) > tooLate {
			count++
		}
	}
	return count
}

// TestToldBeforeSeen: lines that others told of count from the first look at an engine on.
func TestToldBeforeSeen(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	p.SetPeerLoad("a", 30_000)
	got, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, start)
	assert.Assert(t, ok)
	assert.Equal(t, got.Server.ID, "b")
}

// TestNeverSelf: with the mechanism off, no line is too long.
func TestNeverSelf(t *testing.T) {
	cfg := prefillpool.DefaultConfig()
	cfg.DecodePrefillFactor = 0
	p := prefillpool.New(cfg, "edge-1")
	lines(1_000_000)(p)
	_, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000}, start)
	assert.Assert(t, ok)
	_, ok = p.Pick(servers, prefillpool.Request{Tokens: 5000, Exclude: []string{"a", "b"}}, start)
	assert.Assert(t, !ok, "none is left")
}

// TestRoutersThatHaveJustStartedSpread: all routers end at once, and start with a second of requests before them. None knows
// what the others send. All sent their prompts to the same few engines, which refused what did not fit their memory: 123 of
// some 150 in two seconds, each at the cost of a repeat.
func TestRoutersThatHaveJustStartedSpread(t *testing.T) {
	const routers, engines, memory, prompt = 29, 9, 28_000, 3000
	var list []registry.Server
	for i := range engines {
		list = append(list, registry.Server{ID: fmt.Sprintf("i-%08x", 2654435761*uint32(i+1)), Zone: "z1", Stage: registry.Prefill})
	}
	sent := map[string]int{}
	for i := range routers {
		p := prefillpool.New(prefillpool.DefaultConfig(), fmt.Sprint("edge-hall-a-", i))
		c, ok := p.Pick(list, prefillpool.Request{Tokens: prompt, Zone: "z1", SlotLoad: 1, Memory: memory}, start)
		assert.Assert(t, ok)
		sent[c.Server.ID] += prompt
	}
	for id, tokens := range sent {
		assert.Assert(t, tokens <= memory, "%s got %d tokens", id, tokens)
	}
}
