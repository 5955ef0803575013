package stages_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// unevenTimes gives each third of the engines another time per token.
func unevenTimes(servers []registry.Server) map[string]float64 {
	times := map[string]float64{}
	for i, s := range servers {
		times[s.ID] = []float64{0.6, 1, 1.7}[i%3]
	}
	return times
}

// TestFastestEngineMovesToDecode guards against moves that ignore speed: a slow engine added to
// decode holds the memory of long answers for up to three times as long.
func TestFastestEngineMovesToDecode(t *testing.T) {
	for _, c := range []struct {
		name string
		load stages.Load
		to   registry.Stage
		want float64
	}{
		{"burst", load(1.7, 7), registry.Decode, 0.6},
		{"long prompts", load(5.8, 5), registry.Prefill, 1.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := cluster(6, 12)
			c.load.TimePerToken = unevenTimes(servers)
			m, ok := stages.New(stages.DefaultConfig()).Next(servers, nil, c.load, start)
			assert.Assert(t, ok)
			assert.Equal(t, m.To, c.to)
			assert.Equal(t, c.load.TimePerToken[m.Server.ID], c.want)
		})
	}
}

// exchangeAll applies the planner's moves for a while, each of which takes six seconds, and returns
// their number.
func exchangeAll(p *stages.Planner, servers []registry.Server, l stages.Load, duration time.Duration) int {
	moving, done := map[string]registry.Stage{}, map[string]time.Time{}
	moves := 0
	for now := start; now.Before(start.Add(duration)); now = now.Add(500 * time.Millisecond) {
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
	return moves
}

// TestSlowDecodeEnginesChangePlaces replays calm load on engines of three speeds: the slow ones end
// up prefilling, the split stays the same, and the exchanges end.
func TestSlowDecodeEnginesChangePlaces(t *testing.T) {
	servers := cluster(6, 12)
	l := load(2.4, 5)
	l.TimePerToken = unevenTimes(servers)
	moves := exchangeAll(stages.New(stages.DefaultConfig()), servers, l, 5*time.Minute)
	slowPrefill, prefill := 0, 0
	for _, s := range servers {
		if s.Stage == registry.Prefill {
			prefill++
			if l.TimePerToken[s.ID] > 1 {
				slowPrefill++
			}
		}
	}
	assert.Equal(t, prefill, 6)
	assert.Equal(t, slowPrefill, 6)
	assert.Equal(t, moves, 8, "four of the six prefill engines were not slow")
}

// TestNoExchange guards against exchanges that cost capacity when it is short, or that gain nothing.
func TestNoExchange(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(l *stages.Load, servers []registry.Server)
	}{
		{"speeds unknown", func(l *stages.Load, _ []registry.Server) { l.TimePerToken = nil }},
		{"about equal speeds", func(l *stages.Load, servers []registry.Server) {
			for i, s := range servers {
				l.TimePerToken[s.ID] = 1 + 0.3*float64(i%2)
			}
		}},
		{"memory is short", func(l *stages.Load, _ []registry.Server) { l.MemoryShort = true }},
		{"decode engines are busy", func(l *stages.Load, _ []registry.Server) { l.MemoryDemand = 8 * l.EngineMemory }},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := cluster(6, 12)
			l := load(2.8, 5)
			l.TimePerToken = unevenTimes(servers)
			c.set(&l, servers)
			assert.Equal(t, exchangeAll(stages.New(stages.DefaultConfig()), servers, l, time.Minute), 0)
		})
	}
}

// TestExchangedEnginesAreForgotten guards against a planner that remembers every engine it has ever exchanged: each
// restart of an engine gives it another ID.
func TestExchangedEnginesAreForgotten(t *testing.T) {
	servers := cluster(6, 12)
	l := load(2.4, 5)
	l.TimePerToken = unevenTimes(servers)
	p := stages.New(stages.DefaultConfig())
	exchangeAll(p, servers, l, 5*time.Minute)
	assert.Equal(t, p.NumExchanged(), 8)
	replaced := cluster(6, 12)
	for i := range replaced {
		replaced[i].ID += "-restarted"
	}
	p.Next(replaced, nil, l, start.Add(6*time.Minute))
	assert.Equal(t, p.NumExchanged(), 0)
}

// TestRelativeTimes: engines of both stages are compared by the fastest of their kind, and equal ones not at all.
func TestRelativeTimes(t *testing.T) {
	prefill := map[string]float64{"p1": 16, "p2": 40}
	decode := map[string]float64{"d1": 4000, "d2": 6000}
	assert.DeepEqual(t, stages.RelativeTimes(prefill, decode, 1.7), map[string]float64{"p1": 1, "p2": 2.5, "d1": 1, "d2": 1.5})
	assert.Equal(t, len(stages.RelativeTimes(nil, decode, 1.7)), 0)
	assert.Equal(t, len(stages.RelativeTimes(nil, nil, 1.7)), 0)
}
