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

// run is a request of which only the total memory is known.
func run(need int) *kvmemory.Run { return &kvmemory.Run{Need: need} }

// constantLoad is the load of runs that hold a constant amount of memory.
func constantLoad(tokens int) kvmemory.Load {
	return kvmemory.Load{Tokens: tokens, Forecast: kvmemory.Constant(tokens)}
}

func servers(n int) []kvmemory.Server {
	out := make([]kvmemory.Server, n)
	for i := range out {
		out[i] = kvmemory.Server{ID: string(rune('a' + i)), Zone: "z" + string(rune('1'+i%3)), Capacity: 50_000, Slots: 48}
	}
	return out
}

func TestPickStaysWithinMemory(t *testing.T) {
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

func TestPickCountsPeerLoad(t *testing.T) {
	p := pool("g", 2)
	p.SetPeerLoad("a", constantLoad(45_000), start)
	p.SetPeerLoad("b", constantLoad(10_000), start)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Zone: "z1"}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b", "although a is in the zone")
	p.SetPeerLoad("b", constantLoad(45_000), start)
	_, ok = p.Pick(kvmemory.Request{Run: run(6000), Zone: "z1"}, start)
	assert.Assert(t, !ok)
	id, ok = p.Pick(kvmemory.Request{Run: run(5000), Zone: "z1"}, start)
	assert.Assert(t, ok, "a smaller one fits")
	assert.Equal(t, id, "a")
}

func TestOwnZoneIsPreferredAtEqualLoad(t *testing.T) {
	p := pool("g", 3)
	for _, zone := range []string{"z1", "z2", "z3"} {
		id, ok := p.Pick(kvmemory.Request{Run: run(6000), Zone: zone}, start)
		assert.Assert(t, ok)
		assert.Equal(t, zone, "z"+string(rune('1'+id[0]-'a')))
	}
}

// TestOtherVersions: a request that needs a version gets no engine of another one, not even as a last resort.
func TestOtherVersions(t *testing.T) {
	list := servers(4)
	for i, version := range []string{"v1", "v1", "v2", ""} {
		list[i].Version = version
	}
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	p.Sync(list)
	p.SetPeerLoad("a", constantLoad(10_000), start)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Version: "v1", Zone: "z3"}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b")
	p.SetPeerLoad("a", constantLoad(49_000), start)
	p.SetPeerLoad("b", constantLoad(49_000), start)
	_, ok = p.Pick(kvmemory.Request{Run: run(6000), Version: "v1", Zone: "z3"}, start)
	assert.Assert(t, !ok, "no memory at its version")
	id, ok = p.Pick(kvmemory.Request{Run: run(6000), Withheld: []string{"v1", "v2"}, Zone: "z3"}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "d")
}

func TestExcluded(t *testing.T) {
	p := pool("g", 2)
	id, ok := p.Pick(kvmemory.Request{Run: run(6000), Exclude: []string{"a"}}, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b")
	_, ok = p.Pick(kvmemory.Request{Run: run(6000), Exclude: []string{"a", "b"}}, start)
	assert.Assert(t, !ok)
}

// TestRefusal replays a burst at several routers: an engine that other routers have filled refuses
// a request, and is asked again only once it may have free memory.
func TestRefusal(t *testing.T) {
	backoff := kvmemory.DefaultConfig().Backoff
	for _, c := range []struct {
		name   string
		action func(p *kvmemory.Pool, r *kvmemory.Run)
		at     time.Time
		need   int
		ok     bool
	}{
		{"not asked again at once", func(*kvmemory.Pool, *kvmemory.Run) {}, ms(1), 6000, false},
		{"smaller ones may be asked for", func(*kvmemory.Pool, *kvmemory.Run) {}, ms(1), 5000, true},
		{"asked again after the backoff", func(*kvmemory.Pool, *kvmemory.Run) {}, start.Add(backoff), 6000, true},
		{"asked again once a run has ended there", func(p *kvmemory.Pool, r *kvmemory.Run) { p.Release("a", r, start) }, ms(1), 6000, true},
		{"asked again once peers report less load", func(p *kvmemory.Pool, _ *kvmemory.Run) { p.SetPeerLoad("a", constantLoad(1000), start) }, ms(1), 6000, true},
		{"not when peers report more load", func(p *kvmemory.Pool, _ *kvmemory.Run) { p.SetPeerLoad("a", constantLoad(7000), start) }, ms(1), 6000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pool("g", 1)
			p.SetPeerLoad("a", constantLoad(6000), start)
			first, second := run(6000), run(6000)
			p.Place("a", first)
			p.Place("a", second)
			p.Refused("a", second, start)
			c.action(p, first)
			_, ok := p.Pick(kvmemory.Request{Run: run(c.need)}, c.at)
			assert.Equal(t, ok, c.ok)
		})
	}
}

// TestFailureBacksOff replays a server that grants memory and then accepts no run, as a server does
// that changes its stage.
func TestFailureBacksOff(t *testing.T) {
	p := pool("g", 1)
	now := start
	var backoffs []time.Duration
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
		backoffs = append(backoffs, now.Sub(began))
	}
	assert.DeepEqual(t, backoffs, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second})
	p.Succeeded("a")
	r := run(6000)
	p.Place("a", r)
	p.Failed("a", r, now)
	_, ok := p.Pick(kvmemory.Request{Run: run(6000)}, now.Add(time.Second))
	assert.Assert(t, ok, "a success resets the backoff")
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
	assert.Assert(t, !ok, "a leaving engine gets no new work")
	p.Release("a", r, start)
	assert.Equal(t, p.TokensPerRouter(), 0.0)
	assert.Equal(t, len(p.OwnLoads(start)), 0)
}

// TestLateRequestLeavesFreeMemory: a late request is placed only where free memory remains beside
// it.
func TestLateRequestLeavesFreeMemory(t *testing.T) {
	for _, c := range []struct {
		peerTokens int
		late       bool
		ok         bool
	}{
		{44_000, false, true},
		{44_000, true, false},
		{31_500, true, true},
		{31_501, true, false},
	} {
		p := pool("g", 1)
		p.SetPeerLoad("a", constantLoad(c.peerTokens), start)
		_, ok := p.Pick(kvmemory.Request{Run: run(6000), Late: c.late}, start)
		assert.Equal(t, ok, c.ok, "%+v", c)
	}
}

// TestPeerLoadReportedBeforeListing: peers report the load of an engine before the router's own
// server list has it, when the engine changed its stage or the router has just started. Without
// that load, each of 23 routers placed its first run on such an engine as if it were empty.
func TestPeerLoadReportedBeforeListing(t *testing.T) {
	p := kvmemory.New(kvmemory.DefaultConfig(), "g")
	p.SetPeerLoad("a", constantLoad(50_000), start)
	p.Sync(servers(1))
	_, ok := p.Pick(kvmemory.Request{Run: run(6000)}, start)
	assert.Assert(t, !ok, "reported before it was listed")
	p.Sync(nil)
	p.Sync(servers(1))
	_, ok = p.Pick(kvmemory.Request{Run: run(6000)}, start)
	assert.Assert(t, !ok, "temporarily unlisted")
	p.SetPeerLoad("a", kvmemory.Load{}, start)
	_, ok = p.Pick(kvmemory.Request{Run: run(6000)}, start.Add(time.Second))
	assert.Assert(t, ok)
}

// TestTokensPerRouter: memory that becomes free is available to all routers. A router that has
// placed little, as each of many does at times, may expect as much of it as the others.
func TestTokensPerRouter(t *testing.T) {
	p := pool("g", 2)
	p.SetRouters(10)
	p.SetPeerLoad("a", constantLoad(40_000), start)
	p.SetPeerLoad("b", constantLoad(54_000), start)
	p.Place("a", run(6000))
	assert.Equal(t, p.TokensPerRouter(), 10_000.0)
}
