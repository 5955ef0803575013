package prefillpool_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestPrefilledPromptsReturn guards against prompts that are prefilled again elsewhere when their decode engine is lost:
// the engine that has the prompt in its cache is chosen, while it runs, is not excluded and has no long backlog.
func TestPrefilledPromptsReturn(t *testing.T) {
	for _, c := range []struct {
		name    string
		setUp   func(p *prefillpool.Pool)
		request prefillpool.Request
		want    string
		// tokens is the part of the prompt that is expected to be prefilled.
		tokens int
	}{
		{"cached in another zone", func(*prefillpool.Pool) {}, prefillpool.Request{}, "b", 0},
		{"cached behind a short backlog", func(p *prefillpool.Pool) { p.SetPeerLoad("b", 2000) }, prefillpool.Request{}, "b", 0},
		{"cached behind a long one", func(p *prefillpool.Pool) { p.SetPeerLoad("b", 12_000) }, prefillpool.Request{}, "a", 5000},
		{"evicted since", arrivals("b", 60_000), prefillpool.Request{}, "a", 5000},
		{"evicted in part", arrivals("b", 26_000), prefillpool.Request{}, "b", 3000},
		{"much prefilled elsewhere", arrivals("a", 60_000), prefillpool.Request{}, "b", 0},
		{"excluded", func(*prefillpool.Pool) {}, prefillpool.Request{Verdicts: func(id string, _ time.Time) eligibility.Verdict {
			v := eligibility.NewVerdict()
			if id == "b" {
				v.Add(eligibility.Condition{Reason: eligibility.Unhealthy}, start)
			}
			return v
		}}, "a", 5000},
		{"a later start of the engine", func(*prefillpool.Pool) {}, prefillpool.Request{Prefilled: []prefillpool.Prefilled{{ID: "b@1"}}}, "a", 5000},
		{"its exports can't be fetched", func(p *prefillpool.Pool) { p.BackOff("b", start) }, prefillpool.Request{}, "a", 5000},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
			mark := p.Begin("b", 5000)
			p.Cancel("b", 5000)
			c.setUp(p)
			q := c.request
			q.Tokens, q.Zone, q.SlotLoad, q.Memory = 5000, "z1", 1, 28_000
			if q.Prefilled == nil {
				q.Prefilled = []prefillpool.Prefilled{{ID: "b", Mark: mark}}
			}
			got, ok := p.Pick(servers, q, ms(1))
			assert.Assert(t, ok)
			assert.Equal(t, got.Server.ID, c.want)
			assert.Equal(t, got.Tokens, c.tokens)
			assert.Assert(t, got.Timeout >= 600*time.Millisecond)
		})
	}
}

// arrivals has peers send an engine that many tokens, which are prefilled at once.
func arrivals(id string, tokens int) func(p *prefillpool.Pool) {
	return func(p *prefillpool.Pool) {
		for ; tokens > 0; tokens -= 2000 {
			p.SetPeerLoad(id, 2000)
			p.SetPeerLoad(id, 0)
		}
	}
}

// TestCachedPromptsTeachNoRate guards against engines that seem fast because they found prompts in their cache, and
// against engines that count as slow because a prompt was evicted after all.
func TestCachedPromptsTeachNoRate(t *testing.T) {
	p := prefillpool.New(prefillpool.DefaultConfig(), "edge-1")
	q := prefillpool.Request{Zone: "z1", SlotLoad: 1, Memory: 28_000}
	for i := range 100 {
		q.Tokens, q.Prefilled = 1000+1024*(i%5), nil
		c, ok := p.Pick(servers[:1], q, ms(i))
		assert.Assert(t, ok)
		mark := p.Begin("a", c.Tokens)
		p.End(c, q.Tokens, true, time.Duration(q.Tokens)*20*time.Microsecond, ms(i))
		q.Prefilled = []prefillpool.Prefilled{{ID: "a", Mark: mark}}
		c, ok = p.Pick(servers[:1], q, ms(i))
		assert.Assert(t, ok)
		assert.Equal(t, c.Tokens, 0)
		p.Begin("a", c.Tokens)
		p.End(c, q.Tokens, true, []time.Duration{time.Millisecond, 200 * time.Millisecond}[i%2], ms(i))
	}
	assert.Assert(t, p.TokensPerSecond() > 45_000 && p.TokensPerSecond() < 55_000, "%.0f", p.TokensPerSecond())
	c, _ := p.Pick(servers[:1], prefillpool.Request{Tokens: 5000, Zone: "z1", SlotLoad: 1}, ms(100))
	assert.Assert(t, c.Expected < 120*time.Millisecond, "%v", c.Expected)
	assert.Equal(t, p.OwnLoad("a"), 0)
}

// TestReuseSavesPrefill replays 37 prompts a second of 27 routers for 13 engines that keep prompts in a cache with
// least-recently-used eviction. One in four of one router's prompts is sent again within three seconds; it compares the
// tokens that are prefilled again.
func TestReuseSavesPrefill(t *testing.T) {
	without, total := replayReuse(false)
	with, _ := replayReuse(true)
	t.Logf("%d tokens sent again; prefilled again: %d without reuse, %d with", total, without, with)
	assert.Assert(t, 5*with < 2*without)
}

// cache is that of an engine, the least recently used prompt first.
type cache struct {
	ids    []int
	tokens map[int]int
}

// prefill returns the tokens of a prompt that are not cached.
func (c *cache) prefill(id, tokens, memory int) int {
	missing := tokens - c.tokens[id]
	c.ids = append(slices.DeleteFunc(c.ids, func(x int) bool { return x == id }), id)
	c.tokens[id] = tokens
	used := 0
	for _, n := range c.tokens {
		used += n
	}
	for used > memory {
		oldest := c.ids[0]
		n := min(used-memory, c.tokens[oldest])
		c.tokens[oldest] -= n
		used -= n
		if c.tokens[oldest] == 0 {
			delete(c.tokens, oldest)
			c.ids = c.ids[1:]
		}
	}
	return missing
}

// prompt is one that is sent again at a time, zero for none.
type prompt struct {
	id, tokens int
	prefilled  []prefillpool.Prefilled
	at         time.Time
}

type reuseReplay struct {
	pool   *prefillpool.Pool
	list   []registry.Server
	caches map[string]*cache
	peers  map[string]int
	reuse  bool
	// ends are what happens at the ends of prefills in progress.
	ends []prefillEnd
	// again is the tokens that were prefilled again, of total that were sent again.
	again, total int
}

type prefillEnd struct {
	at  time.Time
	run func()
}

const cacheMemory = 53_000

func (r *reuseReplay) endAfter(tokens int, now time.Time, run func()) {
	r.ends = append(r.ends, prefillEnd{now.Add(time.Duration(tokens) * 20 * time.Microsecond), run})
}

// sendByPeer has another router send a prompt.
func (r *reuseReplay) sendByPeer(engine string, q prompt, now time.Time) {
	r.caches[engine].prefill(q.id, q.tokens, cacheMemory)
	r.peers[engine] += q.tokens
	r.pool.SetPeerLoad(engine, r.peers[engine])
	r.endAfter(q.tokens, now, func() {
		r.peers[engine] -= q.tokens
		r.pool.SetPeerLoad(engine, r.peers[engine])
	})
}

// send sends a prompt, and returns it with the engine that prefills it.
func (r *reuseReplay) send(q prompt, now time.Time) prompt {
	request := prefillpool.Request{Tokens: q.tokens, Zone: "z1", SlotLoad: 1, Memory: cacheMemory}
	if r.reuse {
		request.Prefilled = q.prefilled
	}
	c, ok := r.pool.Pick(r.list, request, now)
	if !ok {
		return q
	}
	mark := r.pool.Begin(c.Server.ID, c.Tokens)
	missing := r.caches[c.Server.ID].prefill(q.id, q.tokens, cacheMemory)
	if len(q.prefilled) > 0 {
		r.again, r.total = r.again+missing, r.total+q.tokens
	}
	end := now.Add(time.Duration(missing) * 20 * time.Microsecond)
	r.endAfter(missing, now, func() { r.pool.End(c, q.tokens, true, c.Expected, end) })
	q.prefilled = append(q.prefilled, prefillpool.Prefilled{ID: c.Server.ID, Mark: mark})
	return q
}

func replayReuse(reuse bool) (again, total int) {
	const engines = 13
	rng := rand.New(rand.NewPCG(3, 4))
	r := &reuseReplay{pool: prefillpool.New(prefillpool.DefaultConfig(), "edge-1"), caches: map[string]*cache{}, peers: map[string]int{}, reuse: reuse}
	for i := range engines {
		id := string(rune('a' + i))
		r.list = append(r.list, registry.Server{ID: id, Zone: "z1", Stage: registry.Prefill})
		r.caches[id] = &cache{tokens: map[int]int{}}
	}
	var lost []prompt
	for next := range 12_000 {
		now := ms(27 * next)
		r.ends = slices.DeleteFunc(r.ends, func(e prefillEnd) bool {
			if due := !now.Before(e.at); !due {
				return false
			}
			e.run()
			return true
		})
		q := prompt{id: next, tokens: 2500 + rng.IntN(5400)}
		if rng.IntN(27) > 0 {
			r.sendByPeer(r.list[rng.IntN(engines)].ID, q, now)
		} else if q = r.send(q, now); rng.IntN(4) == 0 {
			q.at = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			lost = append(lost, q)
		}
		lost = slices.DeleteFunc(lost, func(q prompt) bool {
			if due := !now.Before(q.at); !due {
				return false
			}
			r.send(q, now)
			return true
		})
	}
	return r.again, r.total
}
