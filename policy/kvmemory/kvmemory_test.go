package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

var start = time.Unix(1000, 0)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func pool(seed string, n int) *kvmemory.Pool {
	p := kvmemory.New(kvmemory.DefaultConfig(), seed)
	p.Sync(servers(n))
	return p
}

// run is a request of which only the whole memory is known.
func run(need int) *kvmemory.Run { return &kvmemory.Run{Need: need} }

// held is the load of runs that hold that much memory for good.
func held(tokens int) kvmemory.Load {
	return kvmemory.Load{Tokens: tokens, Forecast: kvmemory.Constant(tokens)}
}

func servers(n int) []kvmemory.Server {
	out := make([]kvmemory.Server, n)
	for i := range out {
		out[i] = kvmemory.Server{ID: string(rune('a' + i)), Zone: "z" + string(rune('1'+i%3)), Capacity: 50_000, Slots: 48}
	}
	return out
}

func TestPickKeepsToMemory(t *testing.T) {
	p := pool("g", 2)
	placed := map[string]int{}
	last := map[string]*kvmemory.Run{}
	for {
		r := run(6000)
		id, ok := p.Pick(kvmemory.Request{Run: r, Zone: "z1"}, start)
		if !ok {
			break
		}
		p.Place(id, r)
		placed[id] += 6000
		last[id] = r
	}
	assert.DeepEqual(t, placed, map[string]int{"a": 48_000, "b": 48_000})
	p.Release("b", last["b"], start)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Zone: "z1"}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b")
}

func TestPickCountsOthers(t *testing.T) {
	p := pool("g", 2)
	p.SetPeerLoad("a", held(45_000), start)
	p.SetPeerLoad("b", held(10_000), start)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Zone: "z1"}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b", "although a is in the zone")
	p.SetPeerLoad("b", held(45_000), start)
	_, ok = p.Pick(kvmemory.Request{Run: run(6000), Zone: "z1"}, start)
	assert.Assert(t, !ok)
	id, ok = p.Pick(kvmemory.Request{Run: run(5000), Zone: "z1"}, start)
	assert.Assert(t, ok, "a smaller one fits")
	assert.Equal(t, id, "a")
}

func TestZoneIsPreferredWhenUseIsAlike(t *testing.T) {
	p := pool("g", 3)
	for _, zone := range []string{"z1", "z2", "z3"} {
		id, ok := p.Pick(kvmemory.Request{Run: run(6000), Zone: zone}, start)
		assert.Assert(t, ok)
		assert.Equal(t, zone, "z"+string(rune('1'+id[0]-'a')))
	}
}

func TestExcluded(t *testing.T) {
	p := pool("g", 2)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Exclude: []string{"a"}}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b")
	_, ok = p.Pick(kvmemory.Request{Run: run(6000), Exclude: []string{"a", "b"}}, start)
	assert.Assert(t, !ok)
}

// TestRefusal replays what a burst does with several routers: an engine that others have
// filled refuses, and is asked again once it may have room.
func TestRefusal(t *testing.T) {
	backoff := kvmemory.DefaultConfig().Backoff
	for _, c := range []struct {
		name string
		then func(p *kvmemory.Pool, r *kvmemory.Run)
		at   time.Time
		need int
		ok   bool
	}{
		{"not asked again at once", func(*kvmemory.Pool, *kvmemory.Run) {}, ms(1), 6000, false},
		{"smaller ones may be asked for", func(*kvmemory.Pool, *kvmemory.Run) {}, ms(1), 5000, true},
		{"asked again after the pause", func(*kvmemory.Pool, *kvmemory.Run) {}, start.Add(backoff), 6000, true},
		{"asked again once a run has ended there", func(p *kvmemory.Pool, r *kvmemory.Run) { p.Release("a", r, start) }, ms(1), 6000, true},
		{"asked again once others placed less", func(p *kvmemory.Pool, _ *kvmemory.Run) { p.SetPeerLoad("a", held(1000), start) }, ms(1), 6000, true},
		{"not when others placed more", func(p *kvmemory.Pool, _ *kvmemory.Run) { p.SetPeerLoad("a", held(7000), start) }, ms(1), 6000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pool("g", 1)
			p.SetPeerLoad("a", held(6000), start)
			first, second := run(6000), run(6000)
			p.Place("a", first)
			p.Place("a", second)
			p.Refused("a", second, start)
			c.then(p, first)
			_, ok := p.Pick(kvmemory.Request{Run: run(c.need)}, c.at)
			assert.Equal(t, ok, c.ok)
		})
	}
}

// TestFailureBacksOff replays a server that grants memory and then takes no run, as one
// does that changes its stage.
func TestFailureBacksOff(t *testing.T) {
	p := pool("g", 1)
	now := start
	var pauses []time.Duration
	for range 5 {
		r := run(6000)
		p.Place("a", r)
		p.Failed("a", r, now)
		began := now
		for {
			now = now.Add(100 * time.Millisecond)
			if _, ok := p.Pick(kvmemory.Request{Run: run(6000)}, now); ok {
				break
			}
		}
		pauses = append(pauses, now.Sub(began))
	}
	assert.DeepEqual(t, pauses, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second})
	p.Succeeded("a")
	r := run(6000)
	p.Place("a", r)
	p.Failed("a", r, now)
	_, ok := p.Pick(kvmemory.Request{Run: run(6000)}, now.Add(time.Second))
	assert.Assert(t, ok, "after it worked the pause is short again")
}

func TestRoutersWithEqualViewsChooseDifferently(t *testing.T) {
	chosen := map[string]bool{}
	for _, seed := range []string{"g1", "g2", "g3", "g4", "g5", "g6"} {
		id, ok := pool(seed, 12).Pick(kvmemory.Request{Run: run(6000), Zone: "nowhere"}, start)
		assert.Assert(t, ok)
		chosen[id] = true
	}
	assert.Assert(t, len(chosen) >= 4, "%v", chosen)
}

func TestUnlistedServerKeepsItsRuns(t *testing.T) {
	p := pool("g", 2)
	r := run(6000)
	p.Place("a", r)
	p.Sync(servers(2)[1:])
	assert.Equal(t, p.OwnLoad("a", start).Tokens, 6000)
	_, ok := p.Pick(kvmemory.Request{Run: run(6000), Exclude: []string{"b"}}, start)
	assert.Assert(t, !ok, "a leaving engine gets nothing")
	p.Release("a", r, start)
	assert.Equal(t, p.TokensPerRouter(), 0.0)
	assert.Equal(t, len(p.OwnLoads(start)), 0)
}

// TestLateLeavesRoom: one that is late takes only what would leave room beside it.
func TestLateLeavesRoom(t *testing.T) {
	for _, c := range []struct {
		others int
		late   bool
		ok     bool
	}{
		{44_000, false, true},
		{44_000, true, false},
		{31_500, true, true},
		{31_501, true, false},
	} {
		p := pool("g", 1)
		p.SetPeerLoad("a", held(c.others), start)
		_, ok := p.Pick(kvmemory.Request{Run: run(6000), Late: c.late}, start)
		assert.Equal(t, ok, c.ok, "%+v", c)
	}
}

// TestToldBeforeListed: an engine that changed its stage, and all engines for a router that has
// just started, are told of by others before the router's own list has them. Without what was
// told, each of 23 routers placed its first run on such an engine as if it were empty.
func TestToldBeforeListed(t *testing.T) {
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	p.SetPeerLoad("a", held(50_000), start)
	p.Sync(servers(1))
	_, ok := p.Pick(kvmemory.Request{Run: run(6000)}, start)
	assert.Assert(t, !ok, "told before it was listed")
	p.Sync(nil)
	p.Sync(servers(1))
	_, ok = p.Pick(kvmemory.Request{Run: run(6000)}, start)
	assert.Assert(t, !ok, "it was not listed for a moment")
	p.SetPeerLoad("a", kvmemory.Load{}, start)
	_, ok = p.Pick(kvmemory.Request{Run: run(6000)}, start.Add(time.Second))
	assert.Assert(t, ok)
}

// TestPerRouter: memory that runs free is anybody's. A router that happens to have placed little, as each of
// many does now and then, may expect as much of it as the others.
func TestPerRouter(t *testing.T) {
	p := pool("g", 2)
	p.SetRouters(10)
	p.SetPeerLoad("a", held(40_000), start)
	p.SetPeerLoad("b", held(54_000), start)
	p.Place("a", run(6000))
	assert.Equal(t, p.TokensPerRouter(), 10_000.0)
}
