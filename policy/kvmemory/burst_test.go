package kvmemory_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// The load that is replayed: 30 s at many routers, with bursts of twice the mean as on the
// users' grown fleets, before engines that can just hold the mean.
const (
	routers = 12
	engines = 12
	// perTick is the mean number of arrivals in a tick; a burst has twice as many.
	perTick = 0.2
	tick    = 10 * time.Millisecond
	// inTime is how long a request may wait and still be answered in time, lateWait how
	// long one that came back waits, back when it comes.
	inTime   = 600 * time.Millisecond
	lateWait = 3 * time.Second
	back     = 4 * time.Second
)

// caller is one request of the replay.
type caller struct {
	run          *kvmemory.Run
	runs         time.Duration
	router       int
	late         bool
	arrived, end time.Time
	engine       string
}

func (c *caller) until() time.Time {
	if c.late {
		return c.arrived.Add(lateWait)
	}
	return c.arrived.Add(inTime)
}

// burst is a replay in progress.
type burst struct {
	pools   []*kvmemory.Pool
	waiting []*caller
	running []*caller
	comes   map[time.Time][]*caller
	// served and late are the requests that began in time and later.
	served, late int
}

func newBurst(cfg kvmemory.Config) *burst {
	b := &burst{comes: map[time.Time][]*caller{}}
	for i := range routers {
		p := kvmemory.New(cfg, string(rune('A'+i)))
		p.Sync(servers(engines))
		b.pools = append(b.pools, p)
	}
	rng := rand.New(rand.NewPCG(5, 6))
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(tick) {
		rate := perTick
		if at.Sub(start)%(10*time.Second) > 6*time.Second {
			rate *= 2
		}
		for ; rng.Float64() < rate; rate-- {
			tokens := 100 + rng.IntN(1300)
			c := &caller{run: run(2500 + rng.IntN(5400) + tokens), router: rng.IntN(routers), arrived: at}
			c.runs = (300*time.Millisecond + time.Duration(tokens)*4300*time.Microsecond).Round(tick)
			b.comes[at] = append(b.comes[at], c)
		}
	}
	return b
}

// step plays one tick.
func (b *burst) step(now time.Time) {
	b.running = slices.DeleteFunc(b.running, func(c *caller) bool {
		if now.Before(c.end) {
			return false
		}
		b.pools[c.router].Release(c.engine, c.run, now)
		b.tell(c.engine, now)
		return true
	})
	b.waiting = append(b.waiting, b.comes[now]...)
	slices.SortStableFunc(b.waiting, func(x, y *caller) int {
		if x.router != y.router || x.late == y.late {
			return 0
		}
		if y.late {
			return -1
		}
		return 1
	})
	b.waiting = slices.DeleteFunc(b.waiting, func(c *caller) bool { return b.place(c, now) || b.giveUp(c, now) })
}

// place runs a request if its router finds room.
func (b *burst) place(c *caller, now time.Time) bool {
	p := b.pools[c.router]
	id, ok := p.Pick(kvmemory.Request{Run: c.run, Late: c.late}, now)
	if !ok {
		return false
	}
	p.Place(id, c.run)
	c.engine, c.end = id, now.Add(c.runs)
	b.running = append(b.running, c)
	b.tell(id, now)
	if c.late {
		b.late++
	} else {
		b.served++
	}
	return true
}

// giveUp turns a request away that has waited for too long; it comes back once.
func (b *burst) giveUp(c *caller, now time.Time) bool {
	if now.Before(c.until()) {
		return false
	}
	if !c.late {
		again := *c
		again.late, again.arrived = true, now.Add(back)
		b.comes[again.arrived] = append(b.comes[again.arrived], &again)
	}
	return true
}

// tell gives each router the sum of what the others placed on an engine.
func (b *burst) tell(engine string, now time.Time) {
	for i, p := range b.pools {
		var sum kvmemory.Load
		for j, other := range b.pools {
			if j != i {
				l := other.OwnLoad(engine, now)
				sum.Add(&l, 1)
			}
		}
		p.SetPeerLoad(engine, sum, now)
	}
}

func play(cfg kvmemory.Config) *burst {
	b := newBurst(cfg)
	for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(tick) {
		b.step(now)
	}
	return b
}

// lateWorth is what a late answer is worth to its caller, with one in time as the unit; on
// the users' sheets it is a fifth.
const lateWorth = 0.2

func (b *burst) worth() float64 { return float64(b.served) + lateWorth*float64(b.late) }

// TestReturnersGiveWay replays the bursts with and without memory kept from requests that
// are late. More are answered in time; of those that came back fewer find room, which is
// worth a fifth each. Had they more room the longer they waited, nothing would be gained.
func TestReturnersGiveWay(t *testing.T) {
	without := kvmemory.DefaultConfig()
	without.LateSpare = 0
	before, after := play(without), play(kvmemory.DefaultConfig())
	t.Logf("in time %d, late %d without; in time %d, late %d with", before.served, before.late, after.served, after.late)
	assert.Assert(t, after.served > before.served+before.served/20)
	assert.Assert(t, after.worth() > 1.03*before.worth())
}
