package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
)

const ms = time.Millisecond

func newPicker(t testing.TB, name string) Picker {
	p, err := New(name, DefaultConfig())
	assert.NilError(t, err)
	return p
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func server(id, zone string, role engine.Role, used int, backlog time.Duration) Candidate {
	return Candidate{ID: id, Zone: zone, Role: role, Load: Load{
		Known: true, Slots: 20, SlotsUsed: used, PrefillBacklog: backlog, Step: 20 * ms,
	}}
}

func TestExpectedPicks(t *testing.T) {
	p1, p2 := server("p1", "a", "prefill", 0, 0), server("p2", "a", "prefill", 0, 0)
	d1, d2 := server("d1", "a", "decode", 5, 0), server("d2", "a", "decode", 5, 0)
	otherZone := server("d3", "b", "decode", 5, 0)
	mixed := server("m", "a", "mixed", 5, 0)
	with := func(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }
	full := func(c *Candidate) { c.Load.SlotsUsed = 20 }
	busy := func(c *Candidate) { c.Load.PrefillBacklog = 300 * ms }
	for _, tc := range []struct {
		name            string
		candidates      []Candidate
		change          func(*Request)
		prefill, decode string
	}{
		{"none", nil, nil, "", ""},
		{"no prefill server", []Candidate{d1}, nil, "", ""},
		{"shorter prefill queue", []Candidate{with(p1, busy), p2, d1}, nil, "p2", "d1"},
		{"own tokens since the report", []Candidate{with(p1, func(c *Candidate) { c.TokensSinceReport = 9000 }), p2, d1}, nil, "p2", "d1"},
		{"free decode slot", []Candidate{p1, with(d1, full), d2}, nil, "p1", "d2"},
		{"own placements since the report", []Candidate{p1, with(d1, func(c *Candidate) { c.PlacedSinceReport = 15 }), d2}, nil, "p1", "d2"},
		{"shorter link queue", []Candidate{p1, with(d1, func(c *Candidate) { c.Load.LinkBacklog = 90 * ms }), d2}, nil, "p1", "d2"},
		{"old report counts less", []Candidate{
			with(p1, func(c *Candidate) { busy(c); c.Load.Age = 10 * time.Second }),
			with(p2, func(c *Candidate) { c.Load.PrefillBacklog = 200 * ms }), d1,
		}, nil, "p1", "d1"},
		{"cached prefix outweighs a queue", []Candidate{
			with(p1, func(c *Candidate) { c.CachedTokens, c.CacheConfidence = 3900, 0.9; c.Load.PrefillBacklog = 50 * ms }), p2, d1,
		}, nil, "p1", "d1"},
		{"uncertain prefix does not outweigh a queue", []Candidate{
			with(p1, func(c *Candidate) { c.CachedTokens, c.CacheConfidence = 3900, 0.1; c.Load.PrefillBacklog = 50 * ms }), p2, d1,
		}, nil, "p2", "d1"},
		{"fewest outstanding requests break a tie", []Candidate{p1, with(d1, func(c *Candidate) { c.Outstanding = 2 }), d2}, nil, "p1", "d2"},
		{"own zone within the slack", []Candidate{p1, with(d1, func(c *Candidate) { c.Load.LinkBacklog = 20 * ms }), otherZone}, nil, "p1", "d1"},
		{"another zone beyond the slack", []Candidate{p1, with(d1, full), otherZone}, nil, "p1", "d3"},
		{"avoided zone", []Candidate{server("p4", "b", "prefill", 0, 0), p1, d1, otherZone}, func(r *Request) { r.AvoidZones = []string{"a"} }, "p4", "d3"},
		{"avoided zone is the only one", []Candidate{p1, d1}, func(r *Request) { r.AvoidZones = []string{"a"} }, "p1", "d1"},
		{"excluded", []Candidate{p1, p2, d1, d2}, func(r *Request) { r.ExcludeIDs = []string{"p1", "d2"} }, "p2", "d1"},
		{"mixed saves the transfer", []Candidate{p1, d1, mixed}, nil, "m", "m"},
		{"busy mixed", []Candidate{p1, d1, with(mixed, busy)}, nil, "p1", "d1"},
	} {
		req := Request{Zone: "a", PromptTokens: 4000, MaxTokens: 200, TTFTLeft: 830 * ms}
		if tc.change != nil {
			tc.change(&req)
		}
		got := append(newPicker(t, Expected).Pick(req, tc.candidates, newRand()), Choice{})[0]
		assert.Equal(t, got.Prefill+">"+got.Decode, tc.prefill+">"+tc.decode, tc.name)
	}
}

func cluster(rng *rand.Rand, prefills, decodes int) []Candidate {
	out := make([]Candidate, 0, prefills+decodes)
	for i := range prefills + decodes {
		role := engine.RoleDecode
		if i < prefills {
			role = engine.RolePrefill
		}
		c := server(fmt.Sprint(i), string(rune('a'+i%3)), role, rng.IntN(21), time.Duration(rng.IntN(200))*ms)
		c.Load.Age = time.Duration(rng.IntN(2000)) * ms
		c.CachedTokens, c.CacheConfidence = rng.IntN(4000), rng.Float64()
		out = append(out, c)
	}
	return out
}

// TestEveryPicker checks all pickers: distinct decode servers, no excluded server, and the same
// result under the same seed.
func TestEveryPicker(t *testing.T) {
	for _, name := range Names() {
		first, again := newPicker(t, name), newPicker(t, name)
		rng, r1, r2 := newRand(), newRand(), newRand()
		for range 2000 {
			list := cluster(rng, rng.IntN(6), rng.IntN(12))
			req := Request{Zone: "a", PromptTokens: rng.IntN(20_000), TTFTLeft: time.Second, ExcludeIDs: []string{"1", "7"}}
			req.Urgency = contract.Urgency(rng.IntN(3))
			got := first.Pick(req, list, r1)
			assert.DeepEqual(t, got, again.Pick(req, list, r2))
			assert.Assert(t, len(got) <= DefaultConfig().MaxChoices)
			for i, c := range got {
				assert.Assert(t, !slices.Contains(req.ExcludeIDs, c.Decode) && !slices.Contains(req.ExcludeIDs, c.Prefill), name)
				assert.Assert(t, i == 0 || c.Decode != got[i-1].Decode, name)
			}
		}
	}
	_, err := New("best", DefaultConfig())
	assert.ErrorContains(t, err, "unknown placement")
}

// BenchmarkHerd measures herding on stale reports. It places 1,500 requests by as many callers on
// 100 decode servers whose reports are renewed every 100 placements and don't include the callers'
// choices in between, and reports the maximum of slots used over the mean.
func BenchmarkHerd(b *testing.B) {
	for _, name := range Names() {
		b.Run(name, func(b *testing.B) {
			worst := 0.0
			for b.Loop() {
				worst = maxOverMeanUsed(newPicker(b, name), newRand())
			}
			b.ReportMetric(worst, "max/mean")
		})
	}
}

func maxOverMeanUsed(p Picker, rng *rand.Rand) float64 {
	list := cluster(rng, 1, 100)
	used := make([]int, len(list))
	for i := range 1500 {
		if i%100 == 0 {
			for j := range list {
				list[j].Load = Load{Known: true, Slots: 20, SlotsUsed: used[j]}
			}
		}
		var id int
		req := Request{Zone: string(rune('a' + i%3)), PromptTokens: 1000, TTFTLeft: time.Second}
		fmt.Sscan(p.Pick(req, list, rng)[0].Decode, &id)
		used[id]++
	}
	return float64(slices.Max(used)) / 15
}

// BenchmarkPick24 picks from a subset of 24 servers for the model, the size planned for two years
// ahead.
func BenchmarkPick24(b *testing.B) {
	for _, name := range Names() {
		b.Run(name, func(b *testing.B) {
			rng := newRand()
			list, p := cluster(rng, 8, 16), newPicker(b, name)
			req := Request{Zone: "a", PromptTokens: 4000, TTFTLeft: 830 * ms}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(req, list, rng)
			}
		})
	}
}
