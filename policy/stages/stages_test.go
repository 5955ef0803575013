package stages_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

var start = time.Unix(1000, 0)

func cluster(prefill, decode int) []registry.Server {
	var out []registry.Server
	for i := range prefill + decode {
		s := registry.Server{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Stage: registry.Decode}
		if i < prefill {
			s.Stage = registry.Prefill
		}
		out = append(out, s)
	}
	return out
}

// load expresses a load in engines: how many the prompts keep busy with prefill, and how many
// engines' memory runs hold.
func load(prefillEngines, decodeEngines float64) stages.Load {
	return stages.Load{PromptRate: prefillEngines * 55_000, EnginePrefillRate: 55_000, MemoryDemand: decodeEngines * 53_125, EngineMemory: 53_125}
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		load            stages.Load
		want            string
	}{
		{"18 engines at the mean load", 6, 12, load(1.7, 7), "decode"},
		{"after one move the same load is in the dead band", 5, 13, load(1.7, 7), ""},
		{"9 engines", 3, 6, load(1.0, 3.1), ""},
		{"9 engines in a burst", 3, 6, load(1.2, 6), "decode"},
		{"long prompts, short answers", 3, 15, load(2.9, 5), "prefill"},
		{"idle", 6, 12, load(0.3, 1), ""},
		{"the last prefill engine stays", 1, 5, load(0.1, 5), ""},
		{"prefill engines keep free capacity", 4, 14, load(2.5, 20), ""},
		{"prefill rate unknown", 6, 12, stages.Load{PromptRate: 1e5, MemoryDemand: 5e5, EngineMemory: 53_125}, ""},
		{"all engines of one kind", 0, 5, load(1, 3), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, ok := stages.New(stages.DefaultConfig()).Next(cluster(c.prefill, c.decode), nil, c.load, start)
			got := ""
			if ok {
				got = m.To.String()
			}
			assert.Equal(t, got, c.want)
		})
	}
}

func TestIntervalsAndConcurrentMoves(t *testing.T) {
	p := stages.New(stages.DefaultConfig())
	servers := cluster(6, 12)
	heavy := load(1.7, 12)
	m, ok := p.Next(servers, nil, heavy, start)
	assert.Assert(t, ok)
	p.RecordMove(m, start)
	moving := map[string]registry.Stage{m.Server.ID: m.To}
	_, ok = p.Next(servers, moving, heavy, start.Add(100*time.Millisecond))
	assert.Assert(t, !ok, "no move within the interval")
	m2, ok := p.Next(servers, moving, heavy, start.Add(time.Second))
	assert.Assert(t, ok, "two of 18 engines at once")
	assert.Assert(t, m2.Server.ID != m.Server.ID && m2.Server.Zone != m.Server.Zone, "the split stays even across zones")
	moving[m2.Server.ID] = m2.To
	m3, ok := p.Next(servers, moving, heavy, start.Add(2*time.Second))
	assert.Assert(t, ok, "three of 18 engines at once")
	moving[m3.Server.ID] = m3.To
	_, ok = p.Next(servers, moving, heavy, start.Add(5*time.Second))
	assert.Assert(t, !ok, "no fourth engine at once")
}

// TestBurstOnManyEngines replays the first seconds of load on 117 engines. The split that a burst
// needs must be ordered within three seconds, as on two dozen engines, since a change takes six
// seconds. No more engines are moved than the load needs, and at most a sixth at once.
func TestBurstOnManyEngines(t *testing.T) {
	for _, c := range []struct{ prefill, decode int }{{8, 16}, {41, 76}} {
		t.Run(fmt.Sprint(c.prefill+c.decode), func(t *testing.T) {
			p := stages.New(stages.DefaultConfig())
			servers, moving := cluster(c.prefill, c.decode), map[string]registry.Stage{}
			n := float64(c.prefill + c.decode)
			heavy := load(0.11*n, 0.65*n)
			for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(500 * time.Millisecond) {
				for {
					m, ok := p.Next(servers, moving, heavy, now)
					if !ok {
						break
					}
					p.RecordMove(m, now)
					moving[m.Server.ID] = m.To
				}
			}
			assert.Assert(t, len(moving) <= int(n)/6)
			assert.Assert(t, len(moving) >= int(n)/8, "%d", len(moving))
		})
	}
}

func TestReverseMoveWaitsUnlessSaturated(t *testing.T) {
	p := stages.New(stages.DefaultConfig())
	p.RecordMove(stages.Move{To: registry.Decode}, start)
	_, ok := p.Next(cluster(3, 15), nil, load(2.2, 5), start.Add(5*time.Second))
	assert.Assert(t, !ok, "no reverse move after five seconds")
	_, ok = p.Next(cluster(3, 15), nil, load(2.2, 5), start.Add(21*time.Second))
	assert.Assert(t, ok)
	_, ok = p.Next(cluster(3, 15), nil, load(2.9, 5), start.Add(5*time.Second))
	assert.Assert(t, ok, "saturated prefill engines wait only the shorter interval")
}

// TestRestartOfAllGateways replays the state that a gateway observes when all gateways have just
// restarted under full load: many prompts arrive, and little memory is held yet. Engines short of
// memory keep their stage, and one that was moved by mistake is moved back soon.
func TestRestartOfAllGateways(t *testing.T) {
	observed := load(2.4, 2)
	observed.MemoryShort = true
	p := stages.New(stages.DefaultConfig())
	_, ok := p.Next(cluster(3, 5), nil, observed, start)
	assert.Assert(t, !ok)
	p.RecordMove(stages.Move{To: registry.Prefill}, start)
	full := load(1, 8)
	full.MemoryShort = true
	m, ok := p.Next(cluster(4, 4), nil, full, start.Add(5*time.Second))
	assert.Assert(t, ok && m.To == registry.Decode)
}

// TestLoadShifts replays a day whose traffic shifts from long prompts to long answers and back,
// with engines that need six seconds for a change. The planner must follow it with few moves.
func TestLoadShifts(t *testing.T) {
	p := stages.New(stages.DefaultConfig())
	servers := cluster(6, 12)
	moving, done := map[string]registry.Stage{}, map[string]time.Time{}
	moves := 0
	split := func() int {
		n := 0
		for _, s := range servers {
			if s.Stage == registry.Prefill {
				n++
			}
		}
		return n
	}
	run := func(l stages.Load, from, to int) {
		for now := start.Add(time.Duration(from) * time.Second); now.Before(start.Add(time.Duration(to) * time.Second)); now = now.Add(500 * time.Millisecond) {
			for i, s := range servers {
				if at, ok := done[s.ID]; ok && !now.Before(at) {
					servers[i].Stage = moving[s.ID]
					delete(moving, s.ID)
					delete(done, s.ID)
				}
			}
			if m, ok := p.Next(servers, moving, l, now); ok {
				p.RecordMove(m, now)
				moving[m.Server.ID], done[m.Server.ID] = m.To, now.Add(6*time.Second)
				moves++
			}
		}
	}
	run(load(1.7, 8), 0, 60)
	assert.Equal(t, split(), 4, "long answers")
	run(load(4.4, 4), 60, 180)
	long := split()
	assert.Assert(t, long >= 6, "long prompts: %d", long)
	run(load(1.7, 8), 180, 300)
	assert.Equal(t, split(), 4, "long answers again")
	assert.Assert(t, moves <= 2+2*(long-4)+2, "%d moves", moves)
}

func TestPrefillRateUnderLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r stages.PrefillRate
	assert.Equal(t, r.TokensPerSecond(), 0.0)
	for range 200 {
		tokens := 1000 + rng.IntN(9000)
		wait := time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond))
		r.Observe(tokens, 80*time.Millisecond+time.Duration(tokens)*18*time.Microsecond+wait)
	}
	got := r.TokensPerSecond()
	assert.Assert(t, got > 40_000 && got < 75_000, "%v", got)
}

func TestArrivalRate(t *testing.T) {
	var rate stages.ArrivalRate
	assert.Equal(t, rate.At(start), 0.0)
	now := start
	for range 20 {
		rate.Add(100, now)
		now = now.Add(100 * time.Millisecond)
	}
	early := rate.At(now)
	assert.Assert(t, early > 800 && early < 1300, "after two seconds: %v", early)
	for range 300 {
		rate.Add(100, now)
		now = now.Add(100 * time.Millisecond)
	}
	late := rate.At(now)
	assert.Assert(t, late > 900 && late < 1100, "after half a minute: %v", late)
	assert.Assert(t, rate.At(now.Add(time.Minute)) < 1)
}
