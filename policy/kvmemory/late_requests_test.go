package kvmemory_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// The replayed load: 30 s at many routers, with bursts of twice the mean as on the large
// deployments of users, and engines whose capacity just suffices for the mean.
const (
	routers = 12
	engines = 12
	// perTick is the mean number of arrivals per tick; during a burst it doubles.
	perTick = 0.2
	tick    = 10 * time.Millisecond
	// maxWait is how long a request may wait and still be answered in time, lateWait how long a
	// retried request may wait, retryDelay the delay before the retry.
	maxWait    = 600 * time.Millisecond
	lateWait   = 3 * time.Second
	retryDelay = 4 * time.Second
)

// burstRequest is one request of the replay.
type burstRequest struct {
	run          *kvmemory.Run
	duration     time.Duration
	router       int
	late         bool
	arrived, end time.Time
	engine       string
}

func (r *burstRequest) deadline() time.Time {
	if r.late {
		return r.arrived.Add(lateWait)
	}
	return r.arrived.Add(maxWait)
}

// burstReplay is the state of a replay.
type burstReplay struct {
	pools    []*kvmemory.Pool
	queued   []*burstRequest
	running  []*burstRequest
	arrivals map[time.Time][]*burstRequest
	// inTime and late count the requests that began in time and later.
	inTime, late int
}

func newBurstReplay(cfg kvmemory.Config) *burstReplay {
	b := &burstReplay{arrivals: map[time.Time][]*burstRequest{}}
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
			r := &burstRequest{run: run(2500 + rng.IntN(5400) + tokens), router: rng.IntN(routers), arrived: at}
			r.duration = (300*time.Millisecond + time.Duration(tokens)*4300*time.Microsecond).Round(tick)
			b.arrivals[at] = append(b.arrivals[at], r)
		}
	}
	return b
}

// step simulates one tick.
func (b *burstReplay) step(now time.Time) {
	b.running = slices.DeleteFunc(b.running, func(r *burstRequest) bool {
		if now.Before(r.end) {
			return false
		}
		b.pools[r.router].Release(r.engine, r.run, now)
		b.reportLoad(r.engine, now)
		return true
	})
	b.queued = append(b.queued, b.arrivals[now]...)
	slices.SortStableFunc(b.queued, func(x, y *burstRequest) int {
		if x.router != y.router || x.late == y.late {
			return 0
		}
		if y.late {
			return -1
		}
		return 1
	})
	b.queued = slices.DeleteFunc(b.queued, func(r *burstRequest) bool { return b.place(r, now) || b.reject(r, now) })
}

// place starts a request if its router finds an engine with enough free memory.
func (b *burstReplay) place(r *burstRequest, now time.Time) bool {
	p := b.pools[r.router]
	id, ok := p.Pick(kvmemory.Request{Run: r.run, Late: r.late}, now)
	if !ok {
		return false
	}
	p.Place(id, r.run)
	r.engine, r.end = id, now.Add(r.duration)
	b.running = append(b.running, r)
	b.reportLoad(id, now)
	if r.late {
		b.late++
	} else {
		b.inTime++
	}
	return true
}

// reject rejects a request that has waited too long; it is retried once.
func (b *burstReplay) reject(r *burstRequest, now time.Time) bool {
	if now.Before(r.deadline()) {
		return false
	}
	if !r.late {
		retry := *r
		retry.late, retry.arrived = true, now.Add(retryDelay)
		b.arrivals[retry.arrived] = append(b.arrivals[retry.arrived], &retry)
	}
	return true
}

// reportLoad gives each router the sum of the load that the others placed on an engine.
func (b *burstReplay) reportLoad(engine string, now time.Time) {
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

func replayBurst(cfg kvmemory.Config) *burstReplay {
	b := newBurstReplay(cfg)
	for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(tick) {
		b.step(now)
	}
	return b
}

// lateValue is the value of a late answer relative to one in time, a fifth for the users.
const lateValue = 0.2

func (b *burstReplay) value() float64 { return float64(b.inTime) + lateValue*float64(b.late) }

// TestLateRequestsYieldToTimelyOnes replays the bursts with and without memory that late requests
// must leave free. With it more requests are answered in time, at the cost of retried ones, which
// are worth a fifth each. Allowing late requests more memory the longer they wait would gain
// nothing.
func TestLateRequestsYieldToTimelyOnes(t *testing.T) {
	without := kvmemory.DefaultConfig()
	without.LateSpare = 0
	before, after := replayBurst(without), replayBurst(kvmemory.DefaultConfig())
	t.Logf("in time %d, late %d without; in time %d, late %d with", before.inTime, before.late, after.inTime, after.late)
	assert.Assert(t, after.inTime > before.inTime+before.inTime/20)
	assert.Assert(t, after.value() > 1.03*before.value())
}

// TestLateLongPromptFitsAnEmptyEngine: a retried request of more than three quarters of an engine's
// memory was rejected even if all engines were empty, as it left less free than late requests must.
func TestLateLongPromptFitsAnEmptyEngine(t *testing.T) {
	for _, c := range []struct {
		name      string
		need      int
		elsewhere int
		want      bool
	}{
		{"three quarters", 37_500, 0, true},
		{"nine tenths", 45_000, 0, true},
		{"all of it", 50_000, 0, true},
		{"more than all", 50_001, 0, false},
		{"nine tenths beside a small run", 45_000, 1000, false},
		{"half beside a run that leaves too little", 25_000, 13_000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := pool("g", 1)
			p.SetPeerLoad("a", constantLoad(c.elsewhere), start)
			_, ok := p.Pick(kvmemory.Request{Run: run(c.need), Late: true}, ms(5000))
			assert.Equal(t, ok, c.want)
		})
	}
}
