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
		name    string
		setUp   func(p *prefillpool.Pool)
		request prefillpool.Request
		want    string
	}{
		{"the own zone", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z2", SlotLoad: 1}, "b"},
		{"the shorter backlog", func(p *prefillpool.Pool) { p.Begin("a", 5000) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "b"},
		{"backlogs reported by peers count", func(p *prefillpool.Pool) { p.SetPeerLoad("b", 9000) }, prefillpool.Request{Tokens: 5000, Zone: "z2", SlotLoad: 1}, "a"},
		{"excluded", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Exclude: []string{"a"}}, "b"},
		{"exports can't be fetched", func(p *prefillpool.Pool) { p.BackOff("a", start) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "b"},
		{"long backlogs: an idle decode engine prefills", backlogs(12_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 0}, ""},
		{"long backlogs: a full decode engine doesn't", backlogs(12_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, "a"},
		{"very long backlogs: a full one does", backlogs(60_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, ""},
		{"no memory left at one", func(p *prefillpool.Pool) { p.SetPeerLoad("a", 24_000) }, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 28_000}, "b"},
		{"no memory left", backlogs(24_000), prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 28_000}, ""},
		{"larger than the memory of an idle engine", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1, Memory: 4000}, "a"},
		{"none is left", func(*prefillpool.Pool) {}, prefillpool.Request{Tokens: 5000, Zone: "z1", Exclude: []string{"a", "b"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
			p.Pick(servers, prefillpool.Request{Tokens: 1, SlotLoad: 1}, start)
			c.setUp(p)
			got, ok := p.Pick(servers, c.request, ms(1))
			assert.Equal(t, ok, c.want != "")
			assert.Equal(t, got.Server.ID, c.want)
		})
	}
}

// backlogs sets that many tokens as the backlog of both engines.
func backlogs(tokens int) func(p *prefillpool.Pool) {
	return func(p *prefillpool.Pool) {
		p.SetPeerLoad("a", tokens)
		p.SetPeerLoad("b", tokens)
	}
}

// TestTimeoutGrowsWithBacklog: a prompt that waits behind others is not given up as if its engine
// were unresponsive.
func TestTimeoutGrowsWithBacklog(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	idle, _ := p.Pick(servers, prefillpool.Request{Tokens: 5000, SlotLoad: 1}, start)
	assert.Equal(t, idle.Timeout, 600*time.Millisecond)
	backlogs(40_000)(p)
	busy, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000, SlotLoad: 1}, start)
	assert.Assert(t, ok)
	assert.Assert(t, busy.Timeout >= 3*busy.Expected && busy.Expected >= 900*time.Millisecond, "%v, %v", busy.Timeout, busy.Expected)
}

// TestSlowEngine: an engine that became slow gets fewer prompts, and is tried again later.
func TestSlowEngine(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	request := prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}
	for i := range 3 {
		c, _ := p.Pick(servers[:1], request, ms(i))
		p.Begin("a", 5000)
		p.End(c, 5000, true, 8*c.Expected, ms(i))
	}
	got, _ := p.Pick(servers, request, ms(10))
	assert.Equal(t, got.Server.ID, "b")
	got, _ = p.Pick(servers, request, ms(10_000))
	assert.Equal(t, got.Server.ID, "a", "in its zone, and may have recovered")
}

// TestBurstOfPrompts replays two seconds of prompts at five routers, at about the rate of three
// engines: with reported backlogs, fewer prompts take longer than half a second.
func TestBurstOfPrompts(t *testing.T) {
	reported, unreported := countLate(true), countLate(false)
	t.Logf("late: %d with reported backlogs, %d without", reported, unreported)
	assert.Assert(t, 2*reported < unreported)
}

// countLate runs the burst and counts the prompts that are prefilled too late.
func countLate(report bool) int {
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
	var inProgress []sent
	freeAt := map[string]time.Time{}
	count := 0
	for now := start; now.Before(ms(4000)); now = now.Add(time.Millisecond) {
		var left []sent
		for _, s := range inProgress {
			if now.Before(s.end) {
				left = append(left, s)
				continue
			}
			pools[s.router].End(s.choice, s.tokens, true, s.end.Sub(s.at), now)
		}
		inProgress = left
		if report {
			for _, s := range list {
				for i, p := range pools {
					peers := 0
					for j, o := range pools {
						if j != i {
							peers += o.OwnLoad(s.ID)
						}
					}
					p.SetPeerLoad(s.ID, peers)
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
		if freeAt[c.Server.ID].After(now) {
			began = freeAt[c.Server.ID]
		}
		end := began.Add(time.Duration(tokens) * perToken)
		freeAt[c.Server.ID] = end
		inProgress = append(inProgress, sent{c, tokens, end, now, router})
		if end.Sub(now) > tooLate {
			count++
		}
	}
	return count
}

// TestPeerLoadBeforeFirstPick: backlogs reported by peers count from the first use of an engine on.
func TestPeerLoadBeforeFirstPick(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	p.SetPeerLoad("a", 30_000)
	got, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, start)
	assert.Assert(t, ok)
	assert.Equal(t, got.Server.ID, "b")
}

// TestDecodePrefillDisabled: with the mechanism off, no backlog of the prefill engines is too long.
func TestDecodePrefillDisabled(t *testing.T) {
	cfg := prefillpool.DefaultConfig()
	cfg.DecodePrefillFactor = 0
	p := prefillpool.New(cfg, "edge-1")
	backlogs(1_000_000)(p)
	_, ok := p.Pick(servers, prefillpool.Request{Tokens: 5000}, start)
	assert.Assert(t, ok)
	_, ok = p.Pick(servers, prefillpool.Request{Tokens: 5000, Exclude: []string{"a", "b"}}, start)
	assert.Assert(t, !ok, "none is left")
}

// TestRestartedRoutersSpreadPrompts: all routers terminate at once and restart with a second of
// requests queued, without reports from each other. They all sent their prompts to the same few
// engines, which rejected what did not fit their memory: 123 of some 150 in two seconds, each at
// the cost of a retry.
func TestRestartedRoutersSpreadPrompts(t *testing.T) {
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
