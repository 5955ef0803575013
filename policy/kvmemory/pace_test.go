package kvmemory_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
)

// pacedLoad is a load of no memory whose runs take a time per token, as reported by peers.
func pacedLoad(perToken time.Duration) kvmemory.Load {
	return kvmemory.Load{Pace: enginepace.Evidence{Tokens: int(3 * time.Second / perToken), Micros: 3_000_000}}
}

// pacedPool returns a pool of engines with the given times per token in milliseconds, and the time at
// which they are known.
func pacedPool(millis ...int) (*kvmemory.Pool, time.Time) {
	p := pool("g", len(millis))
	now := start
	for range 30 {
		for i, ms := range millis {
			p.SetPeerLoad(string(rune('a'+i)), pacedLoad(time.Duration(ms)*time.Millisecond), now)
		}
		p.Pick(kvmemory.Request{Run: run(100)}, now)
		now = now.Add(200 * time.Millisecond)
	}
	return p, now
}

func lengthRun(hint int) *kvmemory.Run {
	return &kvmemory.Run{Need: 5000 + hint, Prompt: 5000, Length: outputlength.New().Begin(hint, 1190)}
}

// request is one with a deadline in 14 s.
func request(r *kvmemory.Run, now time.Time, exclude ...string) kvmemory.Request {
	return kvmemory.Request{Run: r, Deadline: now.Add(14 * time.Second), Exclude: exclude}
}

// TestLongRunWaitsForAFastEngine: a run that would reach its deadline at the engine with free memory
// waits for one at which it ends in time, unless there is none or it is about to be given up.
func TestLongRunWaitsForAFastEngine(t *testing.T) {
	for _, c := range []struct {
		name    string
		hint    int
		exclude string
		fail    bool
		want    bool
	}{
		{"a short run takes the slow engine", 200, "", false, true},
		{"a long run waits", 1190, "", false, false},
		{"a long run that has tried the others takes it", 1190, "bc", false, true},
		{"a long run does not wait for engines that fail", 1190, "", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, now := pacedPool(25, 5, 5)
			for _, id := range []string{"b", "c"} {
				full := constantLoad(49_000)
				full.Pace = pacedLoad(5 * time.Millisecond).Pace
				p.SetPeerLoad(id, full, now)
				if c.fail {
					p.Failed(id, run(1), now)
				}
			}
			var exclude []string
			for _, id := range c.exclude {
				exclude = append(exclude, string(id))
			}
			id, ok := p.Pick(request(lengthRun(c.hint), now, exclude...), now)
			assert.Equal(t, ok, c.want)
			assert.Assert(t, !ok || id == "a")
		})
	}
}

// TestEndsInTime: the probability follows the engine's time per token, the deadline and what the run
// has generated.
func TestEndsInTime(t *testing.T) {
	p, now := pacedPool(25, 5, 5)
	r := lengthRun(600)
	deadline := now.Add(14 * time.Second)
	slow, fast := p.EndsInTime("a", r, deadline, now), p.EndsInTime("b", r, deadline, now)
	assert.Assert(t, slow < 0.6 && fast == 1, "%g, %g", slow, fast)
	assert.Assert(t, p.EndsInTime("a", r, now.Add(20*time.Second), now) > slow)
	assert.Equal(t, p.EndsInTime("a", r, now.Add(-time.Second), now), 0.0)
	r.Generated(1100)
	assert.Assert(t, p.EndsInTime("a", r, deadline, now) == 1, "ninety tokens are left")
	unknownLength := &kvmemory.Run{Need: 5600, Prompt: 5000}
	assert.Equal(t, p.EndsInTime("a", unknownLength, now.Add(15500*time.Millisecond), now), 1.0)
	assert.Equal(t, p.EndsInTime("a", unknownLength, now.Add(14*time.Second), now), 0.0)
}

// TestPickFor: the alternative is another engine with free memory, and the query must not change
// what a later choice of the run depends on.
func TestPickFor(t *testing.T) {
	p, now := pacedPool(25, 5, 8)
	r := lengthRun(1000)
	r.FreeAtPeak = 7
	got := p.PickFor("a", request(r, now), now)
	assert.Equal(t, got.ID, "b")
	assert.Assert(t, got.Here < 0.3 && got.There > 0.99, "%+v", got)
	assert.Equal(t, r.FreeAtPeak, 7)
	late := request(r, now)
	late.Delay = 13 * time.Second
	assert.Assert(t, p.PickFor("a", late, now).There < 0.1, "what remains after the delay counts")
	none := p.PickFor("a", request(r, now, "b", "c"), now)
	assert.Equal(t, none.ID, "")
	assert.Equal(t, none.There, 0.0)
}

// TestSlowEngineIsLastResort: an engine that is several times slower than usual gets runs only if no
// other has free memory. The change is reported once.
func TestSlowEngineIsLastResort(t *testing.T) {
	p, now := pacedPool(8, 8, 8)
	assert.Equal(t, len(p.TakePaceChanges()), 0)
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		p.SetPeerLoad("a", pacedLoad(40*time.Millisecond), now)
		p.Pick(kvmemory.Request{Run: run(100)}, now)
	}
	changes := p.TakePaceChanges()
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].ID == "a" && changes[0].Slow && changes[0].Current > 4*changes[0].Usual, "%+v", changes)
	perToken, slow := p.Pace("a")
	assert.Assert(t, slow && perToken == 40*time.Millisecond)
	for _, id := range []string{"b", "c"} {
		p.SetPeerLoad(id, constantLoad(40_000), now)
	}
	id, _ := p.Pick(kvmemory.Request{Run: run(6000)}, now)
	assert.Assert(t, id != "a", "a has the most free memory")
	id, _ = p.Pick(kvmemory.Request{Run: run(20_000)}, now)
	assert.Equal(t, id, "a")
}

// TestPaceOfARestartedEngine: the pace of an incarnation is forgotten with it, and the median of the
// others applies to the next one.
func TestPaceOfARestartedEngine(t *testing.T) {
	p, now := pacedPool(25, 5, 8)
	list := servers(4)[1:]
	p.Sync(list)
	perToken, _ := p.Pace("a")
	assert.Equal(t, perToken, time.Duration(0))
	perToken, _ = p.Pace("d")
	assert.Equal(t, perToken, time.Duration(0))
	p.Sync(servers(4))
	perToken, _ = p.Pace("a")
	assert.Equal(t, perToken, time.Duration(0), "the same ID, listed again, is learned anew")
	r := lengthRun(1000)
	deadline := now.Add(7 * time.Second)
	got, median := p.EndsInTime("d", r, deadline, now), p.EndsInTime("c", r, deadline, now)
	assert.Assert(t, math.Abs(got-median) < 0.01, "%g, %g", got, median)
}

// TestPreemptedRunIsNoSlowEngine: a run that pauses for its prompt to be prefilled again must not
// make its engine count as slow.
func TestPreemptedRunIsNoSlowEngine(t *testing.T) {
	p := pool("g", 1)
	r := lengthRun(1190)
	p.Place("a", r)
	tokens := 0
	for tick := range 60 {
		now := ms(100 * tick)
		if tick < 30 || tick >= 40 {
			tokens += 20
			r.Generated(tokens)
		}
		p.OwnLoad("a", now)
		_, slow := p.Pace("a")
		assert.Assert(t, !slow, "after %d ms", 100*tick)
	}
	perToken, _ := p.Pace("a")
	assert.Assert(t, perToken > 4500*time.Microsecond && perToken < 5500*time.Microsecond, "%s", perToken)
}
