package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request, due at offset At from the start of the run.
type Arrival struct {
	At   time.Duration
	Flow int
	// Seed determines the content of the request.
	Seed uint64
}

// Schedule returns the arrivals of all flows within length, sorted by time. load
// multiplies the rates of all flows that are not Fixed. The arrivals of a flow do not
// depend on the other flows.
func Schedule(flows []Flow, load float64, length time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, f := range flows {
		rate := f.Rate
		if !f.Fixed {
			rate *= load
		}
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		due := burstyArrivals(r, rate, f.Burst, length)
		due = appendPoisson(r, due, rate*(f.Surge.Factor-1), f.Surge.From, min(f.Surge.To, length))
		for _, at := range due {
			all = append(all, Arrival{At: at, Flow: i, Seed: r.Uint64()})
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// burstyArrivals draws a Markov-modulated Poisson process that alternates between the
// phases of b.
func burstyArrivals(r *rand.Rand, rate float64, b Burst, length time.Duration) []time.Duration {
	if b.Factor == 0 {
		return appendPoisson(r, nil, rate, 0, length)
	}
	var out []time.Duration
	high := r.Float64() < b.On.Seconds()/(b.On+b.Off).Seconds()
	for from := time.Duration(0); from < length; high = !high {
		mean, factor := b.Off, b.lowFactor()
		if high {
			mean, factor = b.On, b.Factor
		}
		to := min(from+time.Duration(r.ExpFloat64()*float64(mean)), length)
		out = appendPoisson(r, out, rate*factor, from, to)
		from = to
	}
	return out
}

func appendPoisson(r *rand.Rand, out []time.Duration, rate float64, from, to time.Duration) []time.Duration {
	if rate <= 0 {
		return out
	}
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return out
		}
		out = append(out, at)
	}
}
