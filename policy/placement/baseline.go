package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// baselinePicker is a simple picker for comparison: it orders the servers of each role and takes
// them from the front. It ignores estimates, zones and cached prefixes, apart from AvoidZones.
type baselinePicker struct {
	cfg             Config
	order           func(b *baselinePicker, list []*Candidate, rng *rand.Rand)
	calls           int
	prefill, decode []*Candidate
}

// Pick implements Picker.
func (b *baselinePicker) Pick(req Request, candidates []Candidate, rng *rand.Rand) []Choice {
	b.prefill, b.decode = b.prefill[:0], b.decode[:0]
	forEachEligible(&req, candidates, func(c *Candidate) {
		if c.Role == engine.RolePrefill {
			b.prefill = append(b.prefill, c)
		} else {
			b.decode = append(b.decode, c)
		}
	})
	for _, list := range [][]*Candidate{b.prefill, b.decode} {
		b.order(b, list, rng)
		slices.SortStableFunc(list, func(x, y *Candidate) int {
			return trueFirst(slices.Contains(req.AvoidZones, y.Zone), slices.Contains(req.AvoidZones, x.Zone))
		})
	}
	b.calls++
	return b.choices()
}

// choices pairs the decode servers in order with the prefill servers in order.
func (b *baselinePicker) choices() []Choice {
	var out []Choice
	for _, d := range b.decode {
		if len(out) == max(b.cfg.MaxChoices, 1) {
			break
		}
		switch {
		case d.Role == engine.RoleMixed:
			out = append(out, Choice{Prefill: d.ID, Decode: d.ID})
		case len(b.prefill) > 0:
			p := b.prefill[len(out)%len(b.prefill)]
			out = append(out, Choice{Prefill: p.ID, Decode: d.ID})
		}
	}
	return out
}

func orderRandom(_ *baselinePicker, list []*Candidate, rng *rand.Rand) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// orderRoundRobin rotates the list by one more position at each call.
func orderRoundRobin(b *baselinePicker, list []*Candidate, _ *rand.Rand) {
	if len(list) == 0 {
		return
	}
	n := b.calls % len(list)
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// orderLeastLoad orders by reported load alone, without correcting for the age of the report.
func orderLeastLoad(b *baselinePicker, list []*Candidate, rng *rand.Rand) {
	orderRandom(b, list, rng)
	slices.SortStableFunc(list, func(x, y *Candidate) int {
		if x.Role == engine.RolePrefill {
			return cmp.Compare(x.Load.PrefillBacklog, y.Load.PrefillBacklog)
		}
		return cmp.Compare(x.Load.SlotsUsed+x.Load.Queued, y.Load.SlotsUsed+y.Load.Queued)
	})
}
